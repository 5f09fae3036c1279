// Package audit keeps the trail of every attempt at a change, accepted or
// refused: when, who, why, from which version, what differed and the outcome.
package audit

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// maxRecords bounds the trail that is kept with the log.
const maxRecords = 5000

// Record is one attempt at a change.
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

// NewRecord returns the record of an attempt. The changes are differences in
// the manner of a patch; the version is the one after the attempt.
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

// At returns when the leader took the change in.
func (r Record) At() time.Time { return r.at }

// ChangeID returns the id of the change.
func (r Record) ChangeID() string { return r.changeID }

// Author returns who sent the change.
func (r Record) Author() string { return r.author }

// Reason returns why, in the author's words.
func (r Record) Reason() string { return r.reason }

// Base returns the version that the author saw.
func (r Record) Base() uint64 { return r.base }

// Version returns the version after the attempt.
func (r Record) Version() uint64 { return r.version }

// Code returns the outcome.
func (r Record) Code() result.Code { return r.code }

// Changes returns the differences, one a line.
func (r Record) Changes() []string { return r.changes }

// Trail is the list of attempts, oldest first.
type Trail struct {
	records []Record
}

// Add appends an attempt and forgets the oldest beyond the bound.
func (t *Trail) Add(r Record) {
	t.records = append(t.records, r)
	if len(t.records) > 2*maxRecords {
		t.records = append([]Record(nil), t.records[len(t.records)-maxRecords:]...)
	}
}

// Records returns the attempts, oldest first.
func (t *Trail) Records() []Record {
	return t.records[max(0, len(t.records)-maxRecords):]
}

// AcceptedAfter returns the accepted changes that came after a version, for the
// operator who lost a race.
func AcceptedAfter(records []Record, version uint64) []Record {
	var out []Record
	for _, r := range records {
		if r.code == result.ChangeAccepted && r.version > version {
			out = append(out, r)
		}
	}
	return out
}
