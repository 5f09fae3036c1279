package replica

// PersistentState is what a data folder holds of a replica.
type PersistentState struct {
	hardState HardState
	snapshot  Snapshot
	entries   []Entry
}

// Record is one thing to remember: a HardRecord, CutRecord, EntryRecord or
// SnapshotRecord.
type Record interface{ record() }

// HardRecord remembers a term and the vote in it.
type HardStateRecord struct{ hardState HardState }

// CutRecord remembers that the entries from an index on are void.
type TruncateRecord struct{ fromIndex uint64 }

// EntryRecord remembers an entry.
type EntryRecord struct{ entry Entry }

// SnapshotRecord remembers a snapshot, which voids the entries it covers.
type SnapshotRecord struct{ snapshot Snapshot }

func (HardStateRecord) record() {}
func (TruncateRecord) record()  {}
func (EntryRecord) record()     {}
func (SnapshotRecord) record()  {}

// Records returns what an output asks to write, in the order to write it.
func (o Output) Records() []Record {
	var records []Record
	if o.hardState != nil {
		records = append(records, HardStateRecord{hardState: *o.hardState})
	}
	if o.truncateFrom > 0 {
		records = append(records, TruncateRecord{fromIndex: o.truncateFrom})
	}
	if o.snapshot != nil {
		records = append(records, SnapshotRecord{snapshot: *o.snapshot})
	}
	for _, e := range o.entries {
		records = append(records, EntryRecord{entry: e})
	}
	return records
}

// With returns the memory with one more record. Records are applied in the
// order in which they were written.
func (p PersistentState) With(record Record) PersistentState {
	switch r := record.(type) {
	case HardStateRecord:
		p.hardState = r.hardState
	case TruncateRecord:
		p.truncate(r.fromIndex)
	case EntryRecord:
		if r.entry.index <= p.snapshot.index {
			return p
		}
		p.truncate(r.entry.index)
		p.entries = append(p.entries, r.entry)
	case SnapshotRecord:
		log := compactedLog{snapshot: p.snapshot, entries: p.entries}
		log.compact(r.snapshot)
		p.snapshot = log.snapshot
		p.entries = log.entries
	}
	return p
}

func (p *PersistentState) truncate(fromIndex uint64) {
	for len(p.entries) > 0 && p.entries[len(p.entries)-1].index >= fromIndex {
		p.entries = p.entries[:len(p.entries)-1]
	}
}

// Records returns the memory as the shortest list of records, for a journal
// that is written anew.
func (p PersistentState) Records() []Record {
	records := []Record{SnapshotRecord{snapshot: p.snapshot}, HardStateRecord{hardState: p.hardState}}
	for _, e := range p.entries {
		records = append(records, EntryRecord{entry: e})
	}
	return records
}

// PersistentState returns what the node must remember.
func (n *Node) PersistentState() PersistentState {
	return PersistentState{hardState: n.hardState, snapshot: n.log.snapshot, entries: n.log.entries}
}

// Snapshot returns the snapshot that the memory starts with.
func (p PersistentState) Snapshot() Snapshot { return p.snapshot }
