package replica

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/request/claim"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// Command is what the log agrees on: Replace, SetDataCentre, Claim, Settle,
// Publish or Withdraw.
type Command interface{ command() }

// Stamp says who changes what, why, when, and from which version.
type Stamp struct {
	changeID string
	base     uint64
	author   string
	reason   string
	at       time.Time
}

// NewChangeMetadata returns the stamp of a change. The base is the version that its
// author saw.
func NewChangeMetadata(changeID string, base uint64, author, reason string, at time.Time) Stamp {
	return Stamp{changeID: changeID, base: base, author: author, reason: reason, at: at}
}

// ChangeID returns the id that a resent change repeats.
func (s Stamp) ChangeID() string { return s.changeID }

// Replace puts a whole document in place of the configuration.
type Replace struct {
	stamp    Stamp
	document []byte
}

// SetDataCentre takes a data centre out of service or puts it back.
type SetDataCentre struct {
	stamp     Stamp
	centre    string
	inService bool
}

// Claim takes the id of a non-idempotent request for a holder.
type Claim struct {
	id     string
	holder string
	keep   time.Duration
	at     time.Time
}

// Settle notes the outcome of a claimed request.
type Settle struct {
	id     string
	holder string
	code   result.Code
	body   []byte
}

func (Replace) command()       {}
func (SetDataCentre) command() {}
func (Claim) command()         {}
func (Settle) command()        {}

// NewReplaceConfiguration returns the command that replaces the configuration.
func NewReplaceConfiguration(stamp Stamp, document []byte) Replace {
	return Replace{stamp: stamp, document: document}
}

// NewSetDataCentre returns the command that takes a data centre out or back.
func NewSetDataCentre(stamp Stamp, centre string, inService bool) SetDataCentre {
	return SetDataCentre{stamp: stamp, centre: centre, inService: inService}
}

// NewClaim returns the command that claims a request id.
func NewClaim(id, holder string, keep time.Duration) Claim {
	return Claim{id: id, holder: holder, keep: keep}
}

// NewSettle returns the command that settles a claim.
func NewSettle(id, holder string, code result.Code, body []byte) Settle {
	return Settle{id: id, holder: holder, code: code, body: body}
}

// WithAppendTime returns the command with the time at which the leader appends it.
func WithAppendTime(c Command, at time.Time) Command {
	switch c := c.(type) {
	case Replace:
		c.stamp.at = at
		return c
	case SetDataCentre:
		c.stamp.at = at
		return c
	case Claim:
		c.at = at
		return c
	case Publish:
		c.at = at
		return c
	case Withdraw:
		c.at = at
		return c
	}
	return c
}

// Outcome is what became of a command: ChangeOutcome, ClaimOutcome or
// RoutesOutcome.
type Outcome interface{ outcome() }

// ChangeOutcome says whether a change was accepted and which version it made
// or met.
type ChangeOutcome struct {
	code    result.Code
	version uint64
	message string
}

// ClaimOutcome carries the answer to a claim; it is nil after a settlement.
type ClaimOutcome struct {
	answer claim.Outcome
}

func (ChangeOutcome) outcome() {}
func (ClaimOutcome) outcome()  {}

// Code returns the numbered code.
func (o ChangeOutcome) Code() result.Code { return o.code }

// Version returns the version that the change made, or the current one where
// it was refused.
func (o ChangeOutcome) Version() uint64 { return o.version }

// Message returns a sentence for the operator.
func (o ChangeOutcome) Message() string { return o.message }

// Answer returns the answer to the claim.
func (o ClaimOutcome) Answer() claim.Outcome { return o.answer }
