package replica

import "github.com/mulberrydale/mulberrydale/core/connection/frame"

// Position is a position in the log of one leader: its term, and an index in its log.
type Position struct {
	term  uint64
	index uint64
}

// NewPosition returns a position.
func NewPosition(term, index uint64) Position { return Position{term: term, index: index} }

// Order is an order of an operator, a SetOutOfService or StartRollout, that must not be
// executed after a later order. The leader appends its command only if no other order was
// appended after the base. It is never stored in the log.
//
// An order that was delayed is stale once its operator has given up and sent another one.
// Whoever submits it therefore learns the base first, and then verifies that the operator
// still waits: what the operator sends later is appended after the base.
type Order struct {
	inner Command
	base  Position
}

// OrderRejected is the outcome of an Order after whose base another order was appended.
// Base is a new base, as of the rejection.
type OrderRejected struct{ base Position }

func (Order) command()         {}
func (OrderRejected) outcome() {}

// NewOrderRejected returns the outcome with the position of the last order as the new base.
func NewOrderRejected(last Position) OrderRejected { return OrderRejected{base: last} }

// NewOrder returns an order with its base.
func NewOrder(command Command, base Position) Order { return Order{inner: command, base: base} }

// Command returns the command of the order.
func (o Order) Command() Command { return o.inner }

// Base returns the base for the next attempt.
func (o OrderRejected) Base() Position { return o.base }

// WithCommand returns the order with another command.
func (o Order) WithCommand(command Command) Order {
	o.inner = command
	return o
}

// StaleAt reports whether an order may have been appended after the base, where last is
// the position of the last one.
func (o Order) StaleAt(last Position) bool {
	return o.base.term != last.term || o.base.index < last.index
}

// IsOrder reports whether a command is that of an Order.
func IsOrder(c Command) bool {
	switch c.(type) {
	case SetOutOfService, StartRollout:
		return true
	}
	return false
}

// LastOrder returns the position of the last order in the log of this leader. Until it has
// appended one itself, this is the first entry of its term: any entry before it may be one.
func (n *Node) LastOrder() Position { return Position{term: n.hardState.term, index: n.lastOrder} }

// RecordOrder records that the entry at an index, which was just proposed, is an order.
func (n *Node) RecordOrder(index uint64) { n.lastOrder = index }

func encodeOrder(enc *frame.Encoder, o Order) {
	enc.Uint(wireOrder)
	encodePosition(enc, o.base)
	enc.Bytes(EncodeCommand(o.inner))
}

func decodeOrder(dec *frame.Decoder) Order {
	o := Order{base: decodePosition(dec)}
	command, err := DecodeCommand(dec.Bytes())
	switch {
	case err != nil:
		dec.Fail(err.Error())
	case !IsOrder(command):
		dec.Fail("the command is not an order")
	}
	o.inner = command
	return o
}

func encodePosition(enc *frame.Encoder, p Position) {
	enc.Uint(p.term)
	enc.Uint(p.index)
}

func decodePosition(dec *frame.Decoder) Position {
	return Position{term: dec.Uint(), index: dec.Uint()}
}
