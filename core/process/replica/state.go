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
	// maxChangeIDs bounds the change ids whose outcome is remembered.
	maxChangeIDs = 20_000
	// maxAuditLines bounds the differences that one audit record keeps.
	maxAuditLines = 50
)

// firstOutcome is what is remembered of a change id.
type firstOutcome struct {
	digest  uint64
	outcome ChangeOutcome
}

// State is what the committed commands have produced. It is not safe for
// concurrent use; the same commands give the same state on every replica.
type State struct {
	version  uint64
	document []byte
	cfg      configuration.Configuration
	changes  map[string]firstOutcome
	order    []string
	claims   *claim.Table
	trail    *audit.Trail
	routes   Routes
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		changes: make(map[string]firstOutcome),
		claims:  claim.NewTable(),
		trail:   &audit.Trail{},
	}
}

// Version returns the number of the accepted configuration, 0 for none.
func (s *State) Version() uint64 { return s.version }

// Document returns the text of the accepted configuration.
func (s *State) Document() []byte { return s.document }

// Configuration returns the accepted configuration.
func (s *State) Configuration() configuration.Configuration { return s.cfg }

// Trail returns the attempts at changes.
func (s *State) Trail() *audit.Trail { return s.trail }

// Apply takes in a committed command.
func (s *State) Apply(c Command) Outcome {
	switch c := c.(type) {
	case Replace:
		return s.once(c.stamp, digest("replace", string(c.document)), func() ChangeOutcome { return s.replace(c) })
	case SetDataCentre:
		return s.once(c.stamp, digest("data-centre", fmt.Sprint(c.centre, c.inService)), func() ChangeOutcome { return s.setDataCentre(c) })
	case Claim:
		return ClaimOutcome{answer: s.claims.Claim(c.id, c.holder, c.keep, c.at)}
	case Publish:
		return s.publish(c)
	case Withdraw:
		return s.withdraw(c)
	case Settle:
		s.claims.Settle(c.id, c.holder, c.code, c.body)
	}
	return ClaimOutcome{}
}

func digest(kind, content string) uint64 {
	return xxhash.Sum64String(kind + "\x00" + content)
}

// once runs a change unless its id has an outcome already.
func (s *State) once(stamp Stamp, content uint64, change func() ChangeOutcome) ChangeOutcome {
	if first, known := s.changes[stamp.changeID]; known {
		return repeat(first, content)
	}
	outcome := change()
	s.changes[stamp.changeID] = firstOutcome{digest: content, outcome: outcome}
	s.order = append(s.order, stamp.changeID)
	if len(s.order) > maxChangeIDs {
		delete(s.changes, s.order[0])
		s.order = s.order[1:]
	}
	return outcome
}

func repeat(first firstOutcome, content uint64) ChangeOutcome {
	if first.digest != content {
		return ChangeOutcome{code: result.ChangeIDReused, version: first.outcome.version, message: "this change id belongs to another change"}
	}
	out := first.outcome
	if out.code == result.ChangeAccepted {
		out.code = result.ChangeRepeated
	}
	return out
}

func (s *State) replace(c Replace) ChangeOutcome {
	if conflict, ok := s.conflict(c.stamp); ok {
		return conflict
	}
	cfg, err := configuration.Decode(c.document)
	if err != nil {
		return s.refuse(c.stamp, result.CodeOf(err), err.Error())
	}
	return s.accept(c.stamp, cfg, c.document)
}

func (s *State) setDataCentre(c SetDataCentre) ChangeOutcome {
	if conflict, ok := s.conflict(c.stamp); ok {
		return conflict
	}
	cfg, ok := s.cfg.WithDataCentre(c.centre, c.inService)
	if !ok {
		return s.refuse(c.stamp, result.UnknownDataCentre, fmt.Sprintf("no data centre %q is declared", c.centre))
	}
	return s.accept(c.stamp, cfg, configuration.Encode(cfg, configuration.Notes{}))
}

// conflict refuses a change whose author did not see the current version.
func (s *State) conflict(stamp Stamp) (ChangeOutcome, bool) {
	if stamp.base == s.version {
		return ChangeOutcome{}, false
	}
	message := fmt.Sprintf("the change was made from version %d, the current version is %d", stamp.base, s.version)
	return s.refuse(stamp, result.VersionConflict, message), true
}

func (s *State) refuse(stamp Stamp, code result.Code, message string) ChangeOutcome {
	s.note(stamp, code, nil)
	return ChangeOutcome{code: code, version: s.version, message: message}
}

func (s *State) accept(stamp Stamp, cfg configuration.Configuration, document []byte) ChangeOutcome {
	differences := configuration.Diff(s.cfg, cfg)
	if len(differences) == 0 && s.version > 0 {
		return s.refuse(stamp, result.NothingChanged, "the configuration is the same already")
	}
	s.version++
	s.cfg = cfg
	s.document = document
	s.note(stamp, result.ChangeAccepted, differences)
	return ChangeOutcome{code: result.ChangeAccepted, version: s.version, message: fmt.Sprintf("version %d", s.version)}
}

func (s *State) note(stamp Stamp, code result.Code, differences []configuration.Difference) {
	var lines []string
	for i, d := range differences {
		if i == maxAuditLines {
			lines = append(lines, fmt.Sprintf("and %d more", len(differences)-maxAuditLines))
			break
		}
		lines = append(lines, d.String())
	}
	s.trail.Add(audit.NewRecord(stamp.at, stamp.changeID, stamp.author, stamp.reason, stamp.base, s.version, code, lines))
}
