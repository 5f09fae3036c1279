// Package audit records changes of the configuration, accepted or rejected, and
// accepted changes of the routes: their time, author, reason, base version,
// differences and result. A change of the configuration whose id already has an
// outcome adds no record.
package audit

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// maxRecords is the greatest number of records that a trail returns. The trail stores
// up to twice as many, so that old ones are removed in batches.
const maxRecords = 5000

// Record describes one attempt at a change.
type Record struct {
	at       time.Time
	changeID string
	author   string
	reason   string
	base     uint64
	version  uint64
	code     result.Code
	changes  []string
}

// NewRecord returns the record of an attempt. The changes describe one difference
// per line; in a change of the configuration, a line starts with +, - or ~ for an
// added, removed or changed part. The base is the version that the author started
// from or, for the routes, the version before the change. The version is the
// accepted one after the attempt.
func NewRecord(at time.Time, changeID, author, reason string, base, version uint64, code result.Code, changes []string) Record {
	return Record{
		at:       at,
		changeID: changeID,
		author:   author,
		reason:   reason,
		base:     base,
		version:  version,
		code:     code,
		changes:  changes,
	}
}

// At returns when the leader appended the change to the log.
func (r Record) At() time.Time { return r.at }

// ChangeID returns the id that the change was sent with. A change of the routes has
// a generated id that names its version or revision.
func (r Record) ChangeID() string { return r.changeID }

// Author returns the name of the operator who sent the change, or "operator" for a
// change of the routes, which carries no name.
func (r Record) Author() string { return r.author }

// Reason returns the author's reason for the change. It is empty for a change of the
// routes.
func (r Record) Reason() string { return r.reason }

// Base returns the version that the change was based on.
func (r Record) Base() uint64 { return r.base }

// Version returns the accepted version after the attempt.
func (r Record) Version() uint64 { return r.version }

// Code returns the result of the attempt, ChangeAccepted if it succeeded.
func (r Record) Code() result.Code { return r.code }

// Changes returns the differences, one per line.
func (r Record) Changes() []string { return r.changes }

// Trail holds the latest records. It is not safe for concurrent use.
type Trail struct {
	records []Record
}

// Add appends a record. If there are then more than twice maxRecords, it removes all
// but the latest maxRecords.
func (t *Trail) Add(r Record) {
	t.records = append(t.records, r)
	if len(t.records) > 2*maxRecords {
		t.records = append([]Record(nil), t.records[len(t.records)-maxRecords:]...)
	}
}

// Records returns the latest maxRecords records, oldest first.
func (t *Trail) Records() []Record {
	return t.records[max(0, len(t.records)-maxRecords):]
}

// AcceptedAfter returns the accepted changes with a higher version than the given
// one. It shows an operator whose change was rejected with a version conflict which
// changes were accepted in the meantime.
func AcceptedAfter(records []Record, version uint64) []Record {
	var out []Record
	for _, r := range records {
		if r.code == result.ChangeAccepted && r.version > version {
			out = append(out, r)
		}
	}
	return out
}
