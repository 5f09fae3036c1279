package frame

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// Encoder encodes a sequence of values as msgpack. Its methods return no error,
// because writes to the buffer in memory never fail.
type Encoder struct {
	buffer bytes.Buffer
	enc    *msgpack.Encoder
	err    error
}

// NewEncoder returns an encoder without values.
func NewEncoder() *Encoder {
	e := &Encoder{}
	e.enc = msgpack.NewEncoder(&e.buffer)
	return e
}

// Payload returns the bytes encoded so far.
func (e *Encoder) Payload() []byte { return e.buffer.Bytes() }

func (e *Encoder) recordError(err error) {
	if e.err == nil {
		e.err = err
	}
}

// Uint encodes an unsigned integer.
func (e *Encoder) Uint(n uint64) { e.recordError(e.enc.EncodeUint(n)) }

// Int encodes a signed integer.
func (e *Encoder) Int(n int64) { e.recordError(e.enc.EncodeInt(n)) }

// Float encodes a 64-bit floating-point number.
func (e *Encoder) Float(f float64) { e.recordError(e.enc.EncodeFloat64(f)) }

// Bool encodes a boolean.
func (e *Encoder) Bool(b bool) { e.recordError(e.enc.EncodeBool(b)) }

// String encodes a string.
func (e *Encoder) String(s string) { e.recordError(e.enc.EncodeString(s)) }

// Bytes encodes a byte slice.
func (e *Encoder) Bytes(b []byte) { e.recordError(e.enc.EncodeBytes(b)) }

// Duration encodes a duration in nanoseconds.
func (e *Encoder) Duration(d time.Duration) { e.Int(int64(d)) }

// Time encodes a time in nanoseconds since the Unix epoch, the zero time as 0.
func (e *Encoder) Time(t time.Time) {
	if t.IsZero() {
		e.Int(0)
		return
	}
	e.Int(t.UnixNano())
}

// Strings encodes a list of strings, preceded by its length.
func (e *Encoder) Strings(list []string) {
	e.Uint(uint64(len(list)))
	for _, s := range list {
		e.String(s)
	}
}

// Decoder decodes values in the order in which they were encoded. After the
// first error every value is zero; Err returns that error.
type Decoder struct {
	reader *bytes.Reader
	dec    *msgpack.Decoder
	err    error
}

// NewDecoder returns a decoder of a payload.
func NewDecoder(payload []byte) *Decoder {
	r := bytes.NewReader(payload)
	return &Decoder{reader: r, dec: msgpack.NewDecoder(r)}
}

// Err returns the first error. Bytes that remain after the last value are an
// error too, so Err must not be called before all values have been decoded.
func (d *Decoder) Err() error {
	if d.err == nil && d.reader.Len() > 0 {
		d.err = result.New(result.FrameMalformed, "%d bytes remain after the last value", d.reader.Len())
	}
	return d.err
}

// More reports whether values remain. A later version of a message may have values at the
// end that an earlier one lacks.
func (d *Decoder) More() bool { return d.err == nil && d.reader.Len() > 0 }

// Fail records that a decoded value is invalid, unless an error was recorded
// before.
func (d *Decoder) Fail(reason string) {
	if d.err == nil {
		d.err = result.New(result.FrameMalformed, "%s", reason)
	}
}

func (d *Decoder) recordError(err error) {
	if err != nil && d.err == nil {
		d.err = result.Wrap(err, result.FrameMalformed, "decoding a value")
	}
}

// Uint decodes an unsigned integer.
func (d *Decoder) Uint() uint64 {
	if d.err != nil {
		return 0
	}
	n, err := d.dec.DecodeUint64()
	d.recordError(err)
	return n
}

// Int decodes a signed integer.
func (d *Decoder) Int() int64 {
	if d.err != nil {
		return 0
	}
	n, err := d.dec.DecodeInt64()
	d.recordError(err)
	return n
}

// Float decodes a 64-bit floating-point number.
func (d *Decoder) Float() float64 {
	if d.err != nil {
		return 0
	}
	f, err := d.dec.DecodeFloat64()
	d.recordError(err)
	return f
}

// Bool decodes a boolean.
func (d *Decoder) Bool() bool {
	if d.err != nil {
		return false
	}
	b, err := d.dec.DecodeBool()
	d.recordError(err)
	return b
}

// String decodes a string.
func (d *Decoder) String() string {
	if d.err != nil {
		return ""
	}
	s, err := d.dec.DecodeString()
	d.recordError(err)
	return s
}

// Bytes decodes a byte slice.
func (d *Decoder) Bytes() []byte {
	if d.err != nil {
		return nil
	}
	b, err := d.dec.DecodeBytes()
	d.recordError(err)
	return b
}

// Duration decodes a duration in nanoseconds.
func (d *Decoder) Duration() time.Duration { return time.Duration(d.Int()) }

// Time decodes a time in nanoseconds since the Unix epoch; 0 gives the zero
// time.
func (d *Decoder) Time() time.Time {
	n := d.Int()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Len decodes the length of a list. Each element takes at least one byte, so a
// length greater than the number of remaining bytes is recorded as an error,
// and the result is 0. This prevents the caller from allocating memory for a
// list that the payload can't hold.
func (d *Decoder) Len() int {
	n := d.Uint()
	if n > uint64(d.reader.Len()) {
		d.Fail("list length is over the number of remaining bytes")
		return 0
	}
	return int(n)
}

// Strings decodes a list of strings.
func (d *Decoder) Strings() []string {
	n := d.Len()
	var out []string
	for range n {
		out = append(out, d.String())
	}
	return out
}
