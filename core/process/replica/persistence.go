package replica

// PersistentState is the state of a replica that is stored in its data folder.
type PersistentState struct {
	hardState HardState
	snapshot  Snapshot
	entries   []Entry
}

// Record is one record of the journal: HardStateRecord, TruncateRecord,
// EntryRecord or SnapshotRecord.
type Record interface{ record() }

// HardStateRecord stores the term and the vote in it.
type HardStateRecord struct{ hardState HardState }

// TruncateRecord removes the stored entries from an index on.
type TruncateRecord struct{ fromIndex uint64 }

// EntryRecord stores a log entry.
type EntryRecord struct{ entry Entry }

// SnapshotRecord stores a snapshot and removes the entries that it covers.
type SnapshotRecord struct{ snapshot Snapshot }

func (HardStateRecord) record() {}
func (TruncateRecord) record()  {}
func (EntryRecord) record()     {}
func (SnapshotRecord) record()  {}

// Records returns the records to write, in the order in which they must be
// written.
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

// With returns the state after one more record. Records must be applied in the
// order in which they were written. The result may share its entries slice with
// p, so that a later With on either may overwrite entries of the other.
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

// Records returns the shortest list of records that restores the state. It is
// used to rewrite the journal.
func (p PersistentState) Records() []Record {
	records := []Record{SnapshotRecord{snapshot: p.snapshot}, HardStateRecord{hardState: p.hardState}}
	for _, e := range p.entries {
		records = append(records, EntryRecord{entry: e})
	}
	return records
}

// PersistentState returns the state that the node must store.
func (n *Node) PersistentState() PersistentState {
	return PersistentState{hardState: n.hardState, snapshot: n.log.snapshot, entries: n.log.entries}
}

// Snapshot returns the latest stored snapshot.
func (p PersistentState) Snapshot() Snapshot { return p.snapshot }
