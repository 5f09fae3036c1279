// Package frame encodes the messages between the processes of this system and
// frames them on a stream: a length of four bytes in big-endian order, followed
// by that many bytes of msgpack. Each message type encodes its fields
// explicitly, without reflection.
package frame

import (
	"encoding/binary"
	"io"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// MaxBytes is the maximum size of a frame's payload. A snapshot of the
// replicated log with a configuration of 110,000 leafs fits into it.
const MaxBytes = 96 << 20

// initialAllocBytes is the most memory that is allocated for a payload before
// any of it has arrived, so that a peer can't make this process allocate
// MaxBytes by sending a length only.
const initialAllocBytes = 64 << 10

// Write writes one frame. A payload over MaxBytes is an error with the code
// FrameTooLarge.
func Write(w io.Writer, payload []byte) error {
	if len(payload) > MaxBytes {
		return result.New(result.FrameTooLarge, "frame of %d bytes is over the maximum size", len(payload))
	}
	buffer := make([]byte, 4, 4+len(payload))
	binary.BigEndian.PutUint32(buffer, uint32(len(payload)))
	_, err := w.Write(append(buffer, payload...))
	return err
}

// Read reads one frame. A length over MaxBytes is an error with the code
// FrameTooLarge. If the stream ends before the frame is complete, the error is
// io.EOF or io.ErrUnexpectedEOF. io.EOF does not imply that the stream ended
// between two frames: a stream that ends right after the header gives it too.
func Read(r io.Reader) ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	if length > MaxBytes {
		return nil, result.New(result.FrameTooLarge, "frame of %d bytes is over the maximum size", length)
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
