package replica

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/request/claim"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

const (
	// maxChangeIDs limits the number of change ids whose outcome is kept.
	maxChangeIDs = 20_000
	// maxAuditLines limits the differences that one audit record lists.
	maxAuditLines = 50
)

// recordedOutcome is the first outcome of a change id and the digest of the
// change's content; see contentDigest.
type recordedOutcome struct {
	digest  uint64
	outcome ChangeOutcome
}

// State is the state machine that the committed commands are applied to. The
// same commands give the same state on every replica. It is not safe for
// concurrent use.
type State struct {
	version  uint64
	document []byte
	cfg      configuration.Configuration
	outcomes map[string]recordedOutcome
	// changeOrder lists the change ids in outcomes, oldest first.
	changeOrder []string
	claims      *claim.Table
	auditTrail  *audit.Trail
	routes      Routes
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		outcomes:   make(map[string]recordedOutcome),
		claims:     claim.NewTable(),
		auditTrail: &audit.Trail{},
	}
}

// Version returns the version of the accepted configuration, or 0 if there is
// none.
func (s *State) Version() uint64 { return s.version }

// Document returns the text of the accepted configuration. It is empty if there
// is none.
func (s *State) Document() []byte { return s.document }

// Configuration returns the accepted configuration, or the zero value if there
// is none.
func (s *State) Configuration() configuration.Configuration { return s.cfg }

// Trail returns the audit trail, which records accepted and refused changes.
func (s *State) Trail() *audit.Trail { return s.auditTrail }

// Apply applies a committed command and returns its outcome.
func (s *State) Apply(c Command) Outcome {
	switch c := c.(type) {
	case ReplaceConfiguration:
		return s.applyOnce(c.metadata, contentDigest("replace", string(c.document)), func() ChangeOutcome { return s.replaceConfiguration(c) })
	case SetDataCentre:
		return s.applyOnce(c.metadata, contentDigest("data-centre", fmt.Sprint(c.dataCentre, c.inService)), func() ChangeOutcome { return s.setDataCentre(c) })
	case Claim:
		return ClaimOutcome{answer: s.claims.Claim(c.id, c.holder, c.retention, c.appendedAt)}
	case PublishRoutes:
		return s.publishRoutes(c)
	case SetOutOfService:
		return s.setOutOfService(c)
	case RecordVersions:
		return s.recordVersions(c)
	case StartRollout:
		return s.startRollout(c)
	case EndRollout:
		return s.endRollout(c)
	case StateElapsed:
		return s.stateElapsed(c)
	case Settle:
		s.claims.Settle(c.id, c.holder, c.code, c.body)
	}
	return ClaimOutcome{}
}

// contentDigest returns a digest of a change's kind and content. It
// distinguishes a resent change from another change with the same id.
func contentDigest(kind, content string) uint64 {
	return xxhash.Sum64String(kind + "\x00" + content)
}

// applyOnce applies a change unless its id already has an outcome. A repeated
// change gets the first outcome. When there are more than maxChangeIDs outcomes,
// the oldest is dropped; if its change is resent, it counts as a new one.
func (s *State) applyOnce(metadata ChangeMetadata, digest uint64, change func() ChangeOutcome) ChangeOutcome {
	if recorded, known := s.outcomes[metadata.changeID]; known {
		return repeatedOutcome(recorded, digest)
	}
	outcome := change()
	s.outcomes[metadata.changeID] = recordedOutcome{digest: digest, outcome: outcome}
	s.changeOrder = append(s.changeOrder, metadata.changeID)
	if len(s.changeOrder) > maxChangeIDs {
		delete(s.outcomes, s.changeOrder[0])
		s.changeOrder = s.changeOrder[1:]
	}
	return outcome
}

// repeatedOutcome returns the recorded outcome for a resent change, with
// result.ChangeRepeated in place of result.ChangeAccepted. It returns
// result.ChangeIDReused if the recorded change has other content.
func repeatedOutcome(recorded recordedOutcome, digest uint64) ChangeOutcome {
	if recorded.digest != digest {
		return ChangeOutcome{code: result.ChangeIDReused, version: recorded.outcome.version, message: "this change id belongs to another change"}
	}
	out := recorded.outcome
	if out.code == result.ChangeAccepted {
		out.code = result.ChangeRepeated
	}
	return out
}

func (s *State) replaceConfiguration(c ReplaceConfiguration) ChangeOutcome {
	if conflict, ok := s.checkBaseVersion(c.metadata); ok {
		return conflict
	}
	cfg, err := configuration.Decode(c.document)
	if err != nil {
		return s.reject(c.metadata, result.CodeOf(err), err.Error())
	}
	return s.accept(c.metadata, cfg, c.document)
}

func (s *State) setDataCentre(c SetDataCentre) ChangeOutcome {
	if conflict, ok := s.checkBaseVersion(c.metadata); ok {
		return conflict
	}
	cfg, ok := s.cfg.WithDataCentre(c.dataCentre, c.inService)
	if !ok {
		return s.reject(c.metadata, result.UnknownDataCentre, fmt.Sprintf("no data centre %q is declared", c.dataCentre))
	}
	return s.accept(c.metadata, cfg, configuration.Encode(cfg, configuration.Notes{}))
}

// checkBaseVersion refuses a change that is not based on the current version. It
// returns true if the change was refused.
func (s *State) checkBaseVersion(metadata ChangeMetadata) (ChangeOutcome, bool) {
	if metadata.baseVersion == s.version {
		return ChangeOutcome{}, false
	}
	message := fmt.Sprintf("the change was made from version %d, the current version is %d", metadata.baseVersion, s.version)
	return s.reject(metadata, result.VersionConflict, message), true
}

// reject adds a refused change to the audit trail and returns its outcome.
func (s *State) reject(metadata ChangeMetadata, code result.Code, message string) ChangeOutcome {
	s.recordAudit(metadata, code, nil)
	return ChangeOutcome{code: code, version: s.version, message: message}
}

// accept makes cfg the current configuration under the next version. It rejects a
// change without differences with result.NothingChanged, unless no configuration
// is accepted yet.
func (s *State) accept(metadata ChangeMetadata, cfg configuration.Configuration, document []byte) ChangeOutcome {
	differences := configuration.Diff(s.cfg, cfg)
	if len(differences) == 0 && s.version > 0 {
		return s.reject(metadata, result.NothingChanged, "the configuration is the same already")
	}
	s.version++
	s.cfg = cfg
	s.document = document
	s.recordAudit(metadata, result.ChangeAccepted, differences)
	return ChangeOutcome{code: result.ChangeAccepted, version: s.version, message: fmt.Sprintf("version %d", s.version)}
}

// recordAudit adds a record to the audit trail. It lists at most maxAuditLines
// differences and the number of the others.
func (s *State) recordAudit(metadata ChangeMetadata, code result.Code, differences []configuration.Difference) {
	var lines []string
	for i, d := range differences {
		if i == maxAuditLines {
			lines = append(lines, fmt.Sprintf("and %d more", len(differences)-maxAuditLines))
			break
		}
		lines = append(lines, d.String())
	}
	s.auditTrail.Add(audit.NewRecord(metadata.appendedAt, metadata.changeID, metadata.author, metadata.reason, metadata.baseVersion, s.version, code, lines))
}
