package intake

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Faults of what a caller sends.
var (
	errHeadTooLarge = errors.New("the head of the request is over the limit")
	errMalformed    = errors.New("the body of the request is not encoded in chunks")
)

// phase is the part of a message that the next byte belongs to.
type phase int

const (
	inHead phase = iota
	// inBody is a body with a declared length.
	inBody
	// inChunkSize is the line before a chunk, inChunk its bytes, afterChunk the line break
	// that follows it, and inTrailer the lines after the last chunk.
	inChunkSize
	inChunk
	afterChunk
	inTrailer
)

const (
	// unknownLength is the length of a body in chunks, as in http.Request.
	unknownLength = -1
	// maxChunkLineBytes limits the line before a chunk, and maxTrailerBytes the lines after
	// the last one. net/http has the same limits.
	maxChunkLineBytes = 4 << 10
	maxTrailerBytes   = 4 << 10
	// maxSizeDigits limits the digits of a chunk size, so that it fits into 63 bits.
	maxSizeDigits = 15
)

// framing finds the ends of heads and bodies in what a caller sends.
type framing struct {
	phase phase
	// length is the declared length of the body, or unknownLength.
	length int64
	// remaining is the number of bytes that the body or the chunk still has.
	remaining int64
	// scanned is how far an unfinished head has been searched, and lineStart where its
	// current line begins. early is set if the first byte of the head was passed on before.
	scanned, lineStart int
	early              bool
	lines              int
	// line holds the beginning of a line that is not complete: of a chunk size or trailer.
	line    []byte
	trailer int
}

// agrees reports whether a request has the body that its head declares.
func (f *framing) agrees(contentLength int64) bool { return f.length == contentLength }

// startHead prepares for the next head.
func (f *framing) startHead() {
	f.phase, f.scanned, f.lineStart, f.lines, f.early = inHead, 0, 0, 0, false
	f.line = f.line[:0]
	f.trailer = 0
}

// scanHead searches for the end of a head in text, which begins with it and may have
// grown since the last call. It returns the length of the head, 0 if it is not complete.
// An empty line instead of a request line is a head of its own, which net/http rejects
// or skips.
func (f *framing) scanHead(text []byte, limits Limits) (int, error) {
	if f.lines == 0 && f.scanned == 0 {
		f.length = 0
	}
	for {
		end := bytes.IndexByte(text[f.scanned:], '\n')
		if end < 0 {
			f.scanned = len(text)
			if len(text) > limits.maxHeadBytes() {
				return 0, errHeadTooLarge
			}
			return 0, nil
		}
		end += f.scanned
		line := bytes.TrimSuffix(text[f.lineStart:end], []byte{'\r'})
		f.scanned, f.lineStart = end+1, end+1
		if len(line) == 0 && !f.early {
			if end >= limits.maxHeadBytes() {
				return 0, errHeadTooLarge
			}
			return end + 1, nil
		}
		f.early = false
		f.lines++
		if f.lines > limits.maxHeadLines() {
			return 0, errHeadTooLarge
		}
		f.readField(line)
	}
}

// readField takes the length of the body from a header line, if it declares one.
func (f *framing) readField(line []byte) {
	if len(line) == 0 || line[0]|0x20 != 'c' && line[0]|0x20 != 't' {
		return
	}
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found {
		return
	}
	value = bytes.Trim(value, " \t")
	switch {
	case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
		if n, err := strconv.ParseUint(string(value), 10, 63); err == nil && f.length != unknownLength {
			f.length = int64(n)
		}
	case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if bytes.EqualFold(value, []byte("chunked")) {
			f.length = unknownLength
		}
	}
}

// startBody prepares for the body of the head that is complete. It reports whether there
// is one.
func (f *framing) startBody() bool {
	switch {
	case f.length == unknownLength:
		f.phase = inChunkSize
	case f.length > 0:
		f.phase = inBody
		f.remaining = f.length
	default:
		f.startHead()
		return false
	}
	return true
}

// scanBody returns how many bytes of text, which begins in the body, belong to it. At
// the end of the body, the phase is inHead.
func (f *framing) scanBody(text []byte) (int, error) {
	n := 0
	for n < len(text) && f.phase != inHead {
		switch f.phase {
		case inBody, inChunk:
			taken := int(min(f.remaining, int64(len(text)-n)))
			n += taken
			f.remaining -= int64(taken)
			if f.remaining == 0 {
				f.endPart()
			}
		default:
			taken, err := f.scanLine(text[n:])
			n += taken
			if err != nil {
				return n, err
			}
		}
	}
	return n, nil
}

// endPart ends a body with a declared length, or a chunk.
func (f *framing) endPart() {
	if f.phase == inBody {
		f.startHead()
		return
	}
	f.phase = afterChunk
}

// scanLine takes in text up to the end of the current line of a body in chunks, and returns
// how many bytes that are.
func (f *framing) scanLine(text []byte) (int, error) {
	end := bytes.IndexByte(text, '\n')
	if end < 0 {
		f.line = append(f.line, text...)
		if len(f.line) > maxChunkLineBytes {
			return len(text), errMalformed
		}
		return len(text), nil
	}
	line := text[:end+1]
	if len(f.line) > 0 {
		f.line = append(f.line, line...)
		line = f.line
	}
	if len(line) > maxChunkLineBytes {
		return end + 1, errMalformed
	}
	err := f.readLine(line)
	f.line = f.line[:0]
	return end + 1, err
}

// readLine takes in a complete line of a body in chunks.
func (f *framing) readLine(text []byte) error {
	line := bytes.TrimSuffix(text[:len(text)-1], []byte{'\r'})
	switch f.phase {
	case inChunkSize:
		n, ok := chunkSize(line)
		if !ok {
			return errMalformed
		}
		f.remaining = n
		f.phase = inChunk
		if n == 0 {
			f.phase = inTrailer
		}
	case afterChunk:
		if len(line) > 0 {
			return errMalformed
		}
		f.phase = inChunkSize
	case inTrailer:
		f.trailer += len(text)
		if f.trailer > maxTrailerBytes {
			return errMalformed
		}
		if len(line) == 0 {
			f.startHead()
		}
	}
	return nil
}

// chunkSize parses the line before a chunk, which may have an extension after the size.
func chunkSize(line []byte) (size int64, ok bool) {
	digits, _, _ := bytes.Cut(line, []byte{';'})
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) == 0 || len(digits) > maxSizeDigits {
		return 0, false
	}
	for _, c := range digits {
		switch lower := c | 0x20; {
		case c >= '0' && c <= '9':
			size = size<<4 | int64(c-'0')
		case lower >= 'a' && lower <= 'f':
			size = size<<4 | int64(lower-'a'+10)
		default:
			return 0, false
		}
	}
	return size, true
}
