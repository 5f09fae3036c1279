package replica

// EntryKind says what an entry of the log holds.
type EntryKind uint8

// The kinds of entries.
const (
	// Empty entries are appended by a new leader, to commit what came before.
	NoOp EntryKind = iota
	// VoterChange entries hold a new set of voters, in force once appended.
	VoterChange
	// CommandEntry entries hold an encoded command.
	CommandEntry
)

// Entry is one place of the log.
type Entry struct {
	index   uint64
	term    uint64
	kind    EntryKind
	payload []byte
	voters  Voters
}

// Index returns the place in the log, from 1 on.
func (e Entry) Index() uint64 { return e.index }

// Term returns the term of the leader that appended the entry.
func (e Entry) Term() uint64 { return e.term }

// Kind returns what the entry holds.
func (e Entry) Kind() EntryKind { return e.kind }

// Payload returns the encoded command of a CommandEntry.
func (e Entry) Payload() []byte { return e.payload }

// Snapshot is the state after all entries up to an index.
type Snapshot struct {
	index  uint64
	term   uint64
	voters Voters
	state  []byte
}

// Index returns the last index that the snapshot covers.
func (s Snapshot) Index() uint64 { return s.index }

// State returns the encoded state.
func (s Snapshot) State() []byte { return s.state }

// tail is the log after its snapshot.
type compactedLog struct {
	snapshot Snapshot
	entries  []Entry
}

func (l *compactedLog) lastIndex() uint64 {
	return l.snapshot.index + uint64(len(l.entries))
}

func (l *compactedLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term at an index, false where the log does not reach or has
// forgotten it.
func (l *compactedLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.index:
		return l.snapshot.term, true
	case index < l.snapshot.index || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.snapshot.index-1].term, true
}

// from returns at most n entries from an index on.
func (l *compactedLog) entriesFrom(index uint64, limit int) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	remaining := l.entries[index-l.snapshot.index-1:]
	return remaining[:min(limit, len(remaining))]
}

// cut drops the entries from an index on.
func (l *compactedLog) truncate(index uint64) {
	l.entries = l.entries[: index-l.snapshot.index-1 : index-l.snapshot.index-1]
}

// compact replaces the entries up to the snapshot's index by the snapshot.
func (l *compactedLog) compact(s Snapshot) {
	if s.index >= l.lastIndex() {
		l.entries = nil
	} else if s.index > l.snapshot.index {
		l.entries = append([]Entry(nil), l.entries[s.index-l.snapshot.index:]...)
	}
	l.snapshot = s
}

// voters returns the latest set of voters, committed or not, and the index of
// the entry that holds it.
func (l *compactedLog) voters() (Voters, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].kind == VoterChange {
			return l.entries[i].voters, l.entries[i].index
		}
	}
	return l.snapshot.voters, l.snapshot.index
}
