package replica

// PersistentState is what a data folder holds of a replica.
type PersistentState struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

// Record is one thing to remember: a HardRecord, CutRecord, EntryRecord or
// SnapshotRecord.
type Record interface{ record() }

// HardRecord remembers a term and the vote in it.
type HardRecord struct{ hard HardState }

// CutRecord remembers that the entries from an index on are void.
type CutRecord struct{ from uint64 }

// EntryRecord remembers an entry.
type EntryRecord struct{ entry Entry }

// SnapshotRecord remembers a snapshot, which voids the entries it covers.
type SnapshotRecord struct{ snapshot Snapshot }

func (HardRecord) record()     {}
func (CutRecord) record()      {}
func (EntryRecord) record()    {}
func (SnapshotRecord) record() {}

// Records returns what an output asks to write, in the order to write it.
func (o Output) Records() []Record {
	var out []Record
	if o.hard != nil {
		out = append(out, HardRecord{hard: *o.hard})
	}
	if o.cutFrom > 0 {
		out = append(out, CutRecord{from: o.cutFrom})
	}
	if o.snapshot != nil {
		out = append(out, SnapshotRecord{snapshot: *o.snapshot})
	}
	for _, e := range o.entries {
		out = append(out, EntryRecord{entry: e})
	}
	return out
}

// With returns the memory with one more record. Records are applied in the
// order in which they were written.
func (m PersistentState) With(record Record) PersistentState {
	switch r := record.(type) {
	case HardRecord:
		m.hard = r.hard
	case CutRecord:
		m.cut(r.from)
	case EntryRecord:
		if r.entry.index <= m.snapshot.index {
			return m
		}
		m.cut(r.entry.index)
		m.entries = append(m.entries, r.entry)
	case SnapshotRecord:
		t := tail{snapshot: m.snapshot, entries: m.entries}
		t.compact(r.snapshot)
		m.snapshot = t.snapshot
		m.entries = t.entries
	}
	return m
}

func (m *PersistentState) cut(from uint64) {
	for len(m.entries) > 0 && m.entries[len(m.entries)-1].index >= from {
		m.entries = m.entries[:len(m.entries)-1]
	}
}

// Records returns the memory as the shortest list of records, for a journal
// that is written anew.
func (m PersistentState) Records() []Record {
	out := []Record{SnapshotRecord{snapshot: m.snapshot}, HardRecord{hard: m.hard}}
	for _, e := range m.entries {
		out = append(out, EntryRecord{entry: e})
	}
	return out
}

// PersistentState returns what the node must remember.
func (n *Node) PersistentState() PersistentState {
	return PersistentState{hard: n.hard, snapshot: n.log.snapshot, entries: n.log.entries}
}

// Snapshot returns the snapshot that the memory starts with.
func (m PersistentState) Snapshot() Snapshot { return m.snapshot }
