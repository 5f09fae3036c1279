package intake

// connList is a list of connections in the order in which they were pushed. A connection
// is in at most one list.
type connList struct{ head, tail *Conn }

// push adds a connection at the end of the list, and takes it out of the list it was in.
func (l *connList) push(c *Conn) {
	c.unlink()
	c.list = l
	c.prev = l.tail
	if l.tail == nil {
		l.head = c
	} else {
		l.tail.next = c
	}
	l.tail = c
}

// first returns the first connection of an address, or of all if use is nil.
func (l *connList) first(use *addressUse) *Conn {
	for c := l.head; c != nil; c = c.next {
		if use == nil || c.use == use {
			return c
		}
	}
	return nil
}

// unlink takes a connection out of its list.
func (c *Conn) unlink() {
	if c.list == nil {
		return
	}
	if c.prev == nil {
		c.list.head = c.next
	} else {
		c.prev.next = c.next
	}
	if c.next == nil {
		c.list.tail = c.prev
	} else {
		c.next.prev = c.prev
	}
	c.list, c.prev, c.next = nil, nil, nil
}
