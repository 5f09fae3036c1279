package replica

// EntryKind says what an entry of the log holds.
type EntryKind uint8

// The kinds of entries.
const (
	// Empty entries are appended by a new leader, to commit what came before.
	Empty EntryKind = iota
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
type tail struct {
	snapshot Snapshot
	entries  []Entry
}

func (t *tail) lastIndex() uint64 {
	return t.snapshot.index + uint64(len(t.entries))
}

func (t *tail) lastTerm() uint64 {
	term, _ := t.term(t.lastIndex())
	return term
}

// term returns the term at an index, false where the log does not reach or has
// forgotten it.
func (t *tail) term(index uint64) (uint64, bool) {
	switch {
	case index == t.snapshot.index:
		return t.snapshot.term, true
	case index < t.snapshot.index || index > t.lastIndex():
		return 0, false
	}
	return t.entries[index-t.snapshot.index-1].term, true
}

// from returns at most n entries from an index on.
func (t *tail) from(index uint64, n int) []Entry {
	if index > t.lastIndex() {
		return nil
	}
	rest := t.entries[index-t.snapshot.index-1:]
	return rest[:min(n, len(rest))]
}

// cut drops the entries from an index on.
func (t *tail) cut(index uint64) {
	t.entries = t.entries[: index-t.snapshot.index-1 : index-t.snapshot.index-1]
}

// compact replaces the entries up to the snapshot's index by the snapshot.
func (t *tail) compact(s Snapshot) {
	if s.index >= t.lastIndex() {
		t.entries = nil
	} else if s.index > t.snapshot.index {
		t.entries = append([]Entry(nil), t.entries[s.index-t.snapshot.index:]...)
	}
	t.snapshot = s
}

// voters returns the latest set of voters, committed or not, and the index of
// the entry that holds it.
func (t *tail) voters() (Voters, uint64) {
	for i := len(t.entries) - 1; i >= 0; i-- {
		if t.entries[i].kind == VoterChange {
			return t.entries[i].voters, t.entries[i].index
		}
	}
	return t.snapshot.voters, t.snapshot.index
}
