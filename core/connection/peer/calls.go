package peer

import "sync"

// PendingCalls are the calls to another process that wait for a Reply. They are safe
// for concurrent use; the lock is taken alone.
type PendingCalls struct {
	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan []byte
}

// NewPendingCalls returns calls of which none waits.
func NewPendingCalls() *PendingCalls {
	return &PendingCalls{pending: make(map[uint64]chan []byte)}
}

// Start returns the number for a new call and the channel of its reply.
func (c *PendingCalls) Start() (uint64, <-chan []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	reply := make(chan []byte, 1)
	c.pending[c.lastNumber] = reply
	return c.lastNumber, reply
}

// Cancel ends the wait for a reply.
func (c *PendingCalls) Cancel(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

// Resolve hands a reply to the call that waits for it, if it still does.
func (c *PendingCalls) Resolve(r Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply, ok := c.pending[r.Number()]; ok {
		delete(c.pending, r.Number())
		reply <- r.Payload()
	}
}
