package replica

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/request/claim"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// Command is a state machine command that the log replicates:
// ReplaceConfiguration, SetDataCentre, Claim, Settle, PublishRoutes,
// SetOutOfService, RecordVersions, StartRollout, EndRollout or StateElapsed. An Order
// is a command only on the way to the leader.
type Command interface{ command() }

// ChangeMetadata describes a configuration change: its id, author, reason and
// time, and the configuration version that it is based on.
type ChangeMetadata struct {
	changeID    string
	baseVersion uint64
	author      string
	reason      string
	appendedAt  time.Time
}

// NewChangeMetadata returns the metadata of a change. The base version is the
// configuration version that the author had read.
func NewChangeMetadata(changeID string, baseVersion uint64, author, reason string, appendedAt time.Time) ChangeMetadata {
	return ChangeMetadata{changeID: changeID, baseVersion: baseVersion, author: author, reason: reason, appendedAt: appendedAt}
}

// ChangeID returns the id that identifies the change across resends.
func (m ChangeMetadata) ChangeID() string { return m.changeID }

// ReplaceConfiguration replaces the whole configuration with a document.
type ReplaceConfiguration struct {
	metadata ChangeMetadata
	document []byte
}

// SetDataCentre takes a data centre of the configuration out of service or puts
// it back into service.
type SetDataCentre struct {
	metadata   ChangeMetadata
	dataCentre string
	inService  bool
}

// Claim reserves the id of a non-idempotent request for a holder. The claim
// expires after the retention time.
type Claim struct {
	id         string
	holder     string
	retention  time.Duration
	appendedAt time.Time
}

// Settle records the result code and the body of a claimed request. If the code
// says that the request was not run, it releases the id instead.
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

// NewSetDataCentre returns the command that takes a data centre out of service
// or puts it back into service.
func NewSetDataCentre(metadata ChangeMetadata, dataCentre string, inService bool) SetDataCentre {
	return SetDataCentre{metadata: metadata, dataCentre: dataCentre, inService: inService}
}

// NewClaim returns the command that claims a request id for a holder. The
// retention is the time from the append to the expiry of the claim.
func NewClaim(id, holder string, retention time.Duration) Claim {
	return Claim{id: id, holder: holder, retention: retention}
}

// NewSettle returns the command that records the result of a claimed request.
func NewSettle(id, holder string, code result.Code, body []byte) Settle {
	return Settle{id: id, holder: holder, code: code, body: body}
}

// WithAppendTime returns the command with the time at which the leader appends
// it. Every replica uses this time instead of its own clock, so that the
// command has the same effect everywhere. A Settle and a StateElapsed carry no time.
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
	case RecordVersions:
		c.appendedAt = at
		return c
	case StartRollout:
		c.appendedAt = at
		return c
	case EndRollout:
		c.appendedAt = at
		return c
	case Order:
		c.inner = WithAppendTime(c.inner, at)
		return c
	}
	return c
}

// Outcome is the result of a command: ChangeOutcome, ClaimOutcome, RoutesOutcome,
// RolloutOutcome or OrderRejected.
type Outcome interface{ outcome() }

// ChangeOutcome is the result of a configuration change.
type ChangeOutcome struct {
	code    result.Code
	version uint64
	message string
}

// ClaimOutcome is the result of a Claim or a Settle. A Settle has no answer.
type ClaimOutcome struct {
	answer claim.Outcome
}

func (ChangeOutcome) outcome() {}
func (ClaimOutcome) outcome()  {}

// Code returns the result code.
func (o ChangeOutcome) Code() result.Code { return o.code }

// Version returns the version that the change created, or the version that was
// current when the change was refused. For a repeated change and a reused change
// id it is the version in the first outcome of that id.
func (o ChangeOutcome) Version() uint64 { return o.version }

// Message returns the explanation for the operator.
func (o ChangeOutcome) Message() string { return o.message }

// Answer returns the answer to the claim, or nil after a Settle.
func (o ClaimOutcome) Answer() claim.Outcome { return o.answer }
