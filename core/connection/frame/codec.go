package frame

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// Encoder writes values one after another. It remembers the first error, so
// that a mapping is written without a check after each value.
type Encoder struct {
	buffer bytes.Buffer
	enc    *msgpack.Encoder
	err    error
}

// NewEncoder returns an empty encoder.
func NewEncoder() *Encoder {
	e := &Encoder{}
	e.enc = msgpack.NewEncoder(&e.buffer)
	return e
}

// Payload returns what was written.
func (e *Encoder) Payload() []byte { return e.buffer.Bytes() }

func (e *Encoder) recordError(err error) {
	if e.err == nil {
		e.err = err
	}
}

// Uint writes a whole number from 0 on.
func (e *Encoder) Uint(n uint64) { e.recordError(e.enc.EncodeUint(n)) }

// Int writes a whole number.
func (e *Encoder) Int(n int64) { e.recordError(e.enc.EncodeInt(n)) }

// Float writes a number with a fraction.
func (e *Encoder) Float(f float64) { e.recordError(e.enc.EncodeFloat64(f)) }

// Bool writes a truth value.
func (e *Encoder) Bool(b bool) { e.recordError(e.enc.EncodeBool(b)) }

// String writes a text.
func (e *Encoder) String(s string) { e.recordError(e.enc.EncodeString(s)) }

// Bytes writes bytes.
func (e *Encoder) Bytes(b []byte) { e.recordError(e.enc.EncodeBytes(b)) }

// Duration writes a time span in nanoseconds.
func (e *Encoder) Duration(d time.Duration) { e.Int(int64(d)) }

// Time writes a time in nanoseconds since 1970, 0 for the zero time.
func (e *Encoder) Time(t time.Time) {
	if t.IsZero() {
		e.Int(0)
		return
	}
	e.Int(t.UnixNano())
}

// Strings writes a list of texts.
func (e *Encoder) Strings(list []string) {
	e.Uint(uint64(len(list)))
	for _, s := range list {
		e.String(s)
	}
}

// Decoder reads values in the order in which they were written. After the
// first error every value is zero; Err tells.
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

// Err returns the first error, or one if something is left over.
func (d *Decoder) Err() error {
	if d.err == nil && d.reader.Len() > 0 {
		d.err = result.New(result.FrameMalformed, "%d bytes are left over", d.reader.Len())
	}
	return d.err
}

// Fail notes that a value makes no sense.
func (d *Decoder) Fail(reason string) {
	if d.err == nil {
		d.err = result.New(result.FrameMalformed, "%s", reason)
	}
}

func (d *Decoder) recordError(err error) {
	if err != nil && d.err == nil {
		d.err = result.Wrap(err, result.FrameMalformed, "decoding")
	}
}

// Uint reads a whole number from 0 on.
func (d *Decoder) Uint() uint64 {
	if d.err != nil {
		return 0
	}
	n, err := d.dec.DecodeUint64()
	d.recordError(err)
	return n
}

// Int reads a whole number.
func (d *Decoder) Int() int64 {
	if d.err != nil {
		return 0
	}
	n, err := d.dec.DecodeInt64()
	d.recordError(err)
	return n
}

// Float reads a number with a fraction.
func (d *Decoder) Float() float64 {
	if d.err != nil {
		return 0
	}
	f, err := d.dec.DecodeFloat64()
	d.recordError(err)
	return f
}

// Bool reads a truth value.
func (d *Decoder) Bool() bool {
	if d.err != nil {
		return false
	}
	b, err := d.dec.DecodeBool()
	d.recordError(err)
	return b
}

// String reads a text.
func (d *Decoder) String() string {
	if d.err != nil {
		return ""
	}
	s, err := d.dec.DecodeString()
	d.recordError(err)
	return s
}

// Bytes reads bytes.
func (d *Decoder) Bytes() []byte {
	if d.err != nil {
		return nil
	}
	b, err := d.dec.DecodeBytes()
	d.recordError(err)
	return b
}

// Duration reads a time span.
func (d *Decoder) Duration() time.Duration { return time.Duration(d.Int()) }

// Time reads a time.
func (d *Decoder) Time() time.Time {
	n := d.Int()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Len reads the length of a list. Each element takes at least a byte, so a
// length beyond what is left is refused before anything is allocated.
func (d *Decoder) Len() int {
	n := d.Uint()
	if n > uint64(d.reader.Len()) {
		d.Fail("a list is longer than its frame")
		return 0
	}
	return int(n)
}

// Strings reads a list of texts.
func (d *Decoder) Strings() []string {
	n := d.Len()
	var out []string
	for range n {
		out = append(out, d.String())
	}
	return out
}
