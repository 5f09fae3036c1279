package replica

// EntryKind is the type of a log entry.
type EntryKind uint8

// The types of log entries.
const (
	// NoOp entries are appended by a new leader to commit the entries of
	// earlier terms.
	NoOp EntryKind = iota
	// VoterChange entries hold a new set of voters. It takes effect as soon as
	// the entry is appended, before it is committed.
	VoterChange
	// CommandEntry entries hold an encoded command.
	CommandEntry
)

// Entry is an entry of the replicated log. Its index and term identify it in the
// whole cluster.
type Entry struct {
	index   uint64
	term    uint64
	kind    EntryKind
	payload []byte
	voters  Voters
}

// Index returns the position in the log. The first entry has index 1.
func (e Entry) Index() uint64 { return e.index }

// Term returns the term of the leader that appended the entry.
func (e Entry) Term() uint64 { return e.term }

// Kind returns the type of the entry.
func (e Entry) Kind() EntryKind { return e.kind }

// Payload returns the encoded command of a CommandEntry.
func (e Entry) Payload() []byte { return e.payload }

// Snapshot holds the encoded state and the voters after all entries up to and
// including an index. See State.Encode.
type Snapshot struct {
	index  uint64
	term   uint64
	voters Voters
	state  []byte
}

// Index returns the index of the last entry that the snapshot covers.
func (s Snapshot) Index() uint64 { return s.index }

// State returns the encoded state.
func (s Snapshot) State() []byte { return s.state }

// compactedLog is a snapshot and the log entries after it.
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

// term returns the term of the entry at an index, or false if the index is
// beyond the end of the log or before the snapshot.
func (l *compactedLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.index:
		return l.snapshot.term, true
	case index < l.snapshot.index || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.snapshot.index-1].term, true
}

// entriesFrom returns at most limit entries, starting at an index, which must
// lie after the snapshot.
func (l *compactedLog) entriesFrom(index uint64, limit int) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	remaining := l.entries[index-l.snapshot.index-1:]
	return remaining[:min(limit, len(remaining))]
}

// truncate removes the entries from an index on, which must lie after the
// snapshot. The capacity is truncated too, so that a later append does not
// overwrite entries that other slices share.
func (l *compactedLog) truncate(index uint64) {
	l.entries = l.entries[: index-l.snapshot.index-1 : index-l.snapshot.index-1]
}

// compact replaces the entries up to the index of the snapshot by the snapshot.
func (l *compactedLog) compact(s Snapshot) {
	if s.index >= l.lastIndex() {
		l.entries = nil
	} else if s.index > l.snapshot.index {
		l.entries = append([]Entry(nil), l.entries[s.index-l.snapshot.index:]...)
	}
	l.snapshot = s
}

// voters returns the latest set of voters, committed or not, and the index of
// the entry or snapshot that holds it.
func (l *compactedLog) voters() (Voters, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].kind == VoterChange {
			return l.entries[i].voters, l.entries[i].index
		}
	}
	return l.snapshot.voters, l.snapshot.index
}
