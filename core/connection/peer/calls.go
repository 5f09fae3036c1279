package peer

import "sync"

// PendingCalls matches each Reply from other processes to the call that waits
// for it, by the number of the call. It is safe for concurrent use. No other
// lock is taken while its lock is held.
type PendingCalls struct {
	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan []byte
}

// NewPendingCalls returns a PendingCalls without any call.
func NewPendingCalls() *PendingCalls {
	return &PendingCalls{pending: make(map[uint64]chan []byte)}
}

// Start registers a new call. It returns the number of the call and the channel
// on which its reply arrives.
func (c *PendingCalls) Start() (uint64, <-chan []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	reply := make(chan []byte, 1)
	c.pending[c.lastNumber] = reply
	return c.lastNumber, reply
}

// Cancel stops waiting for the reply to a call; a later reply is dropped.
func (c *PendingCalls) Cancel(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

// Resolve delivers a reply to the call with its number, or drops it if no call
// waits for it.
func (c *PendingCalls) Resolve(r Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply, ok := c.pending[r.Number()]; ok {
		delete(c.pending, r.Number())
		reply <- r.Payload()
	}
}
