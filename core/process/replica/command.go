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
type ChangeMetadata struct {
	changeID    string
	baseVersion uint64
	author      string
	reason      string
	appendedAt  time.Time
}

// NewChangeMetadata returns the stamp of a change. The base is the version that its
// author saw.
func NewChangeMetadata(changeID string, baseVersion uint64, author, reason string, appendedAt time.Time) ChangeMetadata {
	return ChangeMetadata{changeID: changeID, baseVersion: baseVersion, author: author, reason: reason, appendedAt: appendedAt}
}

// ChangeID returns the id that a resent change repeats.
func (m ChangeMetadata) ChangeID() string { return m.changeID }

// Replace puts a whole document in place of the configuration.
type ReplaceConfiguration struct {
	metadata ChangeMetadata
	document []byte
}

// SetDataCentre takes a data centre out of service or puts it back.
type SetDataCentre struct {
	metadata   ChangeMetadata
	dataCentre string
	inService  bool
}

// Claim takes the id of a non-idempotent request for a holder.
type Claim struct {
	id         string
	holder     string
	retention  time.Duration
	appendedAt time.Time
}

// Settle notes the outcome of a claimed request.
type Settle struct {
	id     string
	holder string
	code   result.Code
	body   []byte
}

func (ReplaceConfiguration) command() {}
func (SetDataCentre) command()        {}
func (Claim) command()                {}
func (Settle) command()               {}

// NewReplaceConfiguration returns the command that replaces the configuration.
func NewReplaceConfiguration(metadata ChangeMetadata, document []byte) ReplaceConfiguration {
	return ReplaceConfiguration{metadata: metadata, document: document}
}

// NewSetDataCentre returns the command that takes a data centre out or back.
func NewSetDataCentre(metadata ChangeMetadata, dataCentre string, inService bool) SetDataCentre {
	return SetDataCentre{metadata: metadata, dataCentre: dataCentre, inService: inService}
}

// NewClaim returns the command that claims a request id.
func NewClaim(id, holder string, retention time.Duration) Claim {
	return Claim{id: id, holder: holder, retention: retention}
}

// NewSettle returns the command that settles a claim.
func NewSettle(id, holder string, code result.Code, body []byte) Settle {
	return Settle{id: id, holder: holder, code: code, body: body}
}

// WithAppendTime returns the command with the time at which the leader appends it.
func WithAppendTime(c Command, at time.Time) Command {
	switch c := c.(type) {
	case ReplaceConfiguration:
		c.metadata.appendedAt = at
		return c
	case SetDataCentre:
		c.metadata.appendedAt = at
		return c
	case Claim:
		c.appendedAt = at
		return c
	case PublishRoutes:
		c.appendedAt = at
		return c
	case SetOutOfService:
		c.appendedAt = at
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
