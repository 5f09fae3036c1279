package replica

import (
	"fmt"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// recordViolation records the first violation of an invariant and ignores later
// ones.
func (c *cluster) recordViolation(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// applyAndCheck applies the committed entries of a VM and checks that each term
// has one leader, that each index holds one entry and that the version does not
// decrease.
func (c *cluster) applyAndCheck(m *simulatedVM) {
	n := m.node
	if n.role == Leader {
		if other, known := c.leaderByTerm[n.hardState.term]; known && other != m.id {
			c.recordViolation("term %d has two leaders, %s and %s", n.hardState.term, other, m.id)
		}
		if _, known := c.leaderByTerm[n.hardState.term]; !known {
			c.leaderByTerm[n.hardState.term] = m.id
			c.leaderChanges++
		}
	}
	if c.bugs.commitWithoutQuorum && n.role == Leader && n.commitIndex < n.log.lastIndex() {
		n.commitIndex = n.log.lastIndex()
	}
	for _, e := range n.Committed(m.appliedIndex) {
		m.appliedIndex = e.index
		content := fmt.Sprintf("%d/%d/%x", e.term, e.kind, e.payload)
		if other, known := c.committedEntries[e.index]; known && other != content {
			c.recordViolation("index %d holds two different entries", e.index)
		}
		c.committedEntries[e.index] = content
		if _, known := c.committedAt[e.index]; !known {
			c.committedAt[e.index] = c.now
		}
		if e.kind == CommandEntry {
			c.apply(m, e)
		}
	}
	if m.state.Version() < m.lastVersion {
		c.recordViolation("the version on %s decreased from %d to %d", m.name, m.lastVersion, m.state.Version())
	}
	m.lastVersion = m.state.Version()
}

func (c *cluster) apply(m *simulatedVM, e Entry) {
	command, err := DecodeCommand(e.payload)
	if err != nil {
		c.recordViolation("cannot decode a committed command: %v", err)
		return
	}
	if c.bugs.forgetOutcomes {
		m.state.outcomes = make(map[string]recordedOutcome)
	}
	outcome, ok := m.state.Apply(command).(ChangeOutcome)
	if !ok {
		return
	}
	c.checkOutcome(command, outcome)
}

// checkOutcome checks that a change id has the same outcome on every VM and for
// every resend, and that a version belongs to one change.
func (c *cluster) checkOutcome(command Command, outcome ChangeOutcome) {
	id := changeIDOf(command)
	// A resend of an accepted change must have the outcome of the first one.
	if outcome.code == result.ChangeRepeated {
		outcome.code = result.ChangeAccepted
	}
	if first, known := c.outcomeByChange[id]; known && (first.code != outcome.code || first.version != outcome.version) {
		c.recordViolation("change %s has two outcomes: %v at %d, %v at %d", id, first.code, first.version, outcome.code, outcome.version)
	}
	c.outcomeByChange[id] = outcome
	if outcome.code != result.ChangeAccepted {
		return
	}
	if other, known := c.changeByVersion[outcome.version]; known && other != id {
		c.recordViolation("version %d was accepted for two changes, %s and %s", outcome.version, other, id)
	}
	c.changeByVersion[outcome.version] = id
}

func changeIDOf(c Command) string {
	switch c := c.(type) {
	case ReplaceConfiguration:
		return c.metadata.changeID
	case SetDataCentre:
		return c.metadata.changeID
	}
	return ""
}
