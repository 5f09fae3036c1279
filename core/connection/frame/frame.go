// Package frame carries messages between the system's own processes: a length
// in four bytes, then that many bytes of msgpack. Values are mapped by hand.
package frame

import (
	"encoding/binary"
	"io"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// MaxBytes bounds a frame. It holds a snapshot with a configuration of 110,000
// leafs.
const MaxBytes = 96 << 20

// firstRead is what is allocated before the peer has sent that much: a length
// alone must not cost memory.
const initialAllocBytes = 64 << 10

// Write writes one frame.
func Write(w io.Writer, payload []byte) error {
	if len(payload) > MaxBytes {
		return result.New(result.FrameTooLarge, "a frame of %d bytes", len(payload))
	}
	buffer := make([]byte, 4, 4+len(payload))
	binary.BigEndian.PutUint32(buffer, uint32(len(payload)))
	_, err := w.Write(append(buffer, payload...))
	return err
}

// Read reads one frame.
func Read(r io.Reader) ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	if length > MaxBytes {
		return nil, result.New(result.FrameTooLarge, "a frame of %d bytes", length)
	}
	payload := make([]byte, 0, min(length, initialAllocBytes))
	for len(payload) < length {
		n := min(length-len(payload), max(initialAllocBytes, len(payload)))
		start := len(payload)
		payload = append(payload, make([]byte, n)...)
		if _, err := io.ReadFull(r, payload[start:]); err != nil {
			return nil, err
		}
	}
	return payload, nil
}
