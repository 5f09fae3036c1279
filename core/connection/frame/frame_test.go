package frame_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/result"
)

func TestFrameRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, 1000, 200_000} {
		var buffer bytes.Buffer
		payload := bytes.Repeat([]byte{7}, n)
		assert.NilError(t, frame.Write(&buffer, payload))
		got, err := frame.Read(&buffer)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, payload))
	}
}

func TestReadRejectsTruncatedAndOversizedFrames(t *testing.T) {
	header := binary.BigEndian.AppendUint32(nil, frame.MaxBytes)
	_, err := frame.Read(bytes.NewReader(header))
	assert.Assert(t, err != nil)
	header = binary.BigEndian.AppendUint32(nil, frame.MaxBytes+1)
	_, err = frame.Read(bytes.NewReader(header))
	assert.Equal(t, result.CodeOf(err), result.FrameTooLarge)
}

func TestValueRoundTrip(t *testing.T) {
	at := time.Unix(12, 34)
	enc := frame.NewEncoder()
	enc.Uint(1 << 60)
	enc.Int(-5)
	enc.Bool(true)
	enc.String("äö")
	enc.Bytes([]byte{1, 2})
	enc.Duration(time.Second)
	enc.Time(at)
	enc.Time(time.Time{})
	enc.Strings([]string{"a", "b"})
	dec := frame.NewDecoder(enc.Payload())
	assert.Equal(t, dec.Uint(), uint64(1<<60))
	assert.Equal(t, dec.Int(), int64(-5))
	assert.Equal(t, dec.Bool(), true)
	assert.Equal(t, dec.String(), "äö")
	assert.DeepEqual(t, dec.Bytes(), []byte{1, 2})
	assert.Equal(t, dec.Duration(), time.Second)
	assert.Assert(t, dec.Time().Equal(at))
	assert.Assert(t, dec.Time().IsZero())
	assert.DeepEqual(t, dec.Strings(), []string{"a", "b"})
	assert.NilError(t, dec.Err())
}

func TestListLengthBeyondPayloadIsRejected(t *testing.T) {
	enc := frame.NewEncoder()
	enc.Uint(1 << 40)
	dec := frame.NewDecoder(enc.Payload())
	assert.Equal(t, dec.Len(), 0)
	assert.Equal(t, result.CodeOf(dec.Err()), result.FrameMalformed)
}

func FuzzRead(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, 1, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, err := frame.Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		var encoded bytes.Buffer
		assert.NilError(t, frame.Write(&encoded, payload))
		assert.Assert(t, bytes.HasPrefix(data, encoded.Bytes()))
	})
}

func ExampleEncoder() {
	enc := frame.NewEncoder()
	enc.String("oulu-1")
	enc.Uint(7)
	dec := frame.NewDecoder(enc.Payload())
	fmt.Println(dec.String(), dec.Uint(), dec.Err())
	// Output: oulu-1 7 <nil>
}
