package control

import (
	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// Kinds of records in the journal of a control VM. The values are stored.
const (
	identityRecord = iota + 1
	replicaRecord
)

// encodeIdentity returns the journal record of the replica id.
func encodeIdentity(id replica.ID) []byte {
	enc := frame.NewEncoder()
	enc.Uint(identityRecord)
	enc.Bytes([]byte(id))
	return enc.Payload()
}

// encodeRecord returns the journal record that holds a record of the replica.
func encodeRecord(r replica.Record) []byte {
	enc := frame.NewEncoder()
	enc.Uint(replicaRecord)
	enc.Bytes(replica.EncodeRecord(r))
	return enc.Payload()
}

// replayJournal decodes the records of a journal and returns the replica id, empty
// for a new journal, and the state of the replica. The error is JournalDamaged.
func replayJournal(records [][]byte) (replica.ID, replica.PersistentState, error) {
	var id replica.ID
	var persisted replica.PersistentState
	for _, data := range records {
		dec := frame.NewDecoder(data)
		kind := dec.Uint()
		content := dec.Bytes()
		if err := dec.Err(); err != nil {
			return "", persisted, result.Wrap(err, result.JournalDamaged, "failed to decode a journal record")
		}
		if kind == identityRecord {
			id = replica.ID(content)
			continue
		}
		record, err := replica.DecodeRecord(content)
		if err != nil {
			return "", persisted, err
		}
		persisted = persisted.With(record)
	}
	return id, persisted, nil
}
