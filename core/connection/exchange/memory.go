package exchange

import (
	"io"
	"net/http"
	"sync"

	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// unchargedHeadBytes and unchargedBodyBytes are the sizes of the beginning of a head and
	// of a body that are read without a charge: most responses are shorter.
	unchargedHeadBytes = 8 << 10
	unchargedBodyBytes = 4 << 10
	// headStepBytes is how much of a longer head is read at a time, and headByteCost what a
	// byte of it is charged: a short line takes about as much more memory decoded.
	headStepBytes = 16 << 10
	headByteCost  = 16
	// firstBodyBytes is the first size of the buffer of a body of unknown length.
	firstBodyBytes = 512
	// blockBytes is the size of the blocks in which the rest of a long body is read.
	blockBytes = MaxBufferedBytes
)

// errNoMemory means that there is no memory left for a response.
var errNoMemory = result.New(result.FrameTooLarge, "there is no memory left for the response")

// block is a part of a long body. Blocks are used again: those of bodies that are given up
// would otherwise wait for the garbage collector, more of them than it keeps up with.
type block struct {
	data [blockBytes]byte
	n    int
}

var blocks = sync.Pool{New: func() any { return new(block) }}

// moreHead returns how many more bytes of the head may be read, 0 if it has reached its limit
// or there is no memory for more.
func (x *roundTrip) moreHead() int {
	step := min(headStepBytes, maxHeaderBytes-x.headBytes)
	if step == 0 || !x.reserve(headByteCost*int64(step)) {
		return 0
	}
	x.headBytes += step
	return step
}

// reserve charges the request for memory of this response and reports whether there was room
// for it.
func (x *roundTrip) reserve(n int64) bool {
	if !x.attempt.Request().ReserveResponse(n) {
		return false
	}
	x.charged += n
	return true
}

// release releases a part of what the request is charged for this response.
func (x *roundTrip) release(n int64) {
	x.attempt.Request().ReleaseResponse(n)
	x.charged -= n
}

// releaseAll releases what the request is charged for a response that is not kept. What is
// charged for another one is released with the request.
func (x *roundTrip) releaseAll() { x.release(x.charged) }

// readUpTo reads a body up to limit bytes and a few more. end reports whether that is the
// whole body. If there is no memory for more, it returns errNoMemory, with what it has read
// if the limit is at most MaxBufferedBytes.
func (x *roundTrip) readUpTo(limit int64, res *http.Response) (body []byte, end bool, err error) {
	size := int64(firstBodyBytes)
	if res.ContentLength >= 0 {
		// One byte more, so that the end is found without a larger buffer.
		size = min(res.ContentLength, unchargedBodyBytes-1) + 1
	}
	body = make([]byte, 0, size)
	for {
		n, err := res.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return body, false, err
		case int64(len(body)) > limit:
			return body, false, nil
		case len(body) < cap(body):
			continue
		case limit > MaxBufferedBytes && len(body) >= MaxBufferedBytes:
			return x.readBlocks(body, limit, res.Body)
		}
		old := int64(cap(body))
		larger := min(2*old, limit+1)
		if larger > unchargedBodyBytes && !x.reserve(larger) {
			return body, false, errNoMemory
		}
		body = append(make([]byte, 0, larger), body...)
		if old > unchargedBodyBytes {
			x.release(old)
		}
	}
}

// readBlocks reads the rest of a long body that must be whole. A body over the limit is not
// returned.
func (x *roundTrip) readBlocks(beginning []byte, limit int64, rest io.Reader) (body []byte, end bool, err error) {
	var list []*block
	defer func() {
		for _, b := range list {
			blocks.Put(b)
		}
	}()
	total := int64(len(beginning))
	for !end {
		if total > limit {
			return nil, false, nil
		}
		if !x.reserve(blockBytes) {
			return nil, false, errNoMemory
		}
		b := blocks.Get().(*block)
		list = append(list, b)
		if end, err = b.fill(rest); err != nil {
			return nil, false, err
		}
		total += int64(b.n)
	}
	if total > limit {
		return nil, false, nil
	}
	if !x.reserve(total) {
		return nil, false, errNoMemory
	}
	body = append(make([]byte, 0, total), beginning...)
	for _, b := range list {
		body = append(body, b.data[:b.n]...)
	}
	x.release(int64(cap(beginning)) + blockBytes*int64(len(list)))
	return body, true, nil
}

// fill reads until the block is full, and reports whether it has the end of what is read.
func (b *block) fill(r io.Reader) (end bool, err error) {
	b.n = 0
	for b.n < len(b.data) {
		n, err := r.Read(b.data[b.n:])
		b.n += n
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}
