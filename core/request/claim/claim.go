// Package claim deduplicates non-idempotent requests by their ids: the first
// claimant of an id may send the request. Later claimants get its outcome, or
// InDoubt if the outcome is not known. If it is certain that the request was
// not run, the id can be claimed again.
package claim

import (
	"slices"
	"time"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// maxClaims bounds the number of stored ids. An id is removed only after it has
// expired or if its request was not run, so new ids are refused while the table
// is full.
const maxClaims = 2_000_000

// Outcome is the result of a claim: Granted, InDoubt, Settled or Full.
type Outcome interface{ outcome() }

// Granted means that this claimant may send the request, once.
type Granted struct{}

// InDoubt means that another claimant may have sent the request and that its
// outcome is not known.
type InDoubt struct{}

// Settled carries the outcome of the request that was run by an earlier
// claimant.
type Settled struct {
	code result.Code
	body []byte
}

// Full means that no more ids can be stored. The request must not be sent.
type Full struct{}

func (Granted) outcome() {}
func (InDoubt) outcome() {}
func (Settled) outcome() {}
func (Full) outcome()    {}

// NewSettled returns the outcome of an earlier run. It is used by decoders.
func NewSettled(code result.Code, body []byte) Settled {
	return Settled{code: code, body: body}
}

// Code returns the result code of the earlier run.
func (s Settled) Code() result.Code { return s.code }

// Body returns the result of the earlier run, a single JSON value.
func (s Settled) Body() []byte { return s.body }

// Record is the stored state of one request id.
type Record struct {
	id      string
	holder  string
	expires time.Time
	settled bool
	code    result.Code
	body    []byte
}

// NewRecord returns a record. It is used by decoders.
func NewRecord(id, holder string, expires time.Time, settled bool, code result.Code, body []byte) Record {
	return Record{id: id, holder: holder, expires: expires, settled: settled, code: code, body: body}
}

// ID returns the request id.
func (r Record) ID() string { return r.id }

// Holder returns the id of the claimant to which the request id was granted. It
// is unique to one attempt to run the request.
func (r Record) Holder() string { return r.holder }

// Expires returns the time after which the record may be removed.
func (r Record) Expires() time.Time { return r.expires }

// Settled returns the outcome, and whether it is known. If it is not known, the
// code is that of the last outcome passed to Table.Settle, or 0 if there was
// none.
func (r Record) Settled() (code result.Code, body []byte, known bool) {
	return r.code, r.body, r.settled
}

// Table holds the claims. It has no lock: the replicated log applies its
// commands one at a time.
type Table struct {
	records map[string]Record
	// order holds the ids, oldest first.
	order []string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[string]Record)}
}

// Len returns the number of stored ids.
func (t *Table) Len() int { return len(t.records) }

// Records returns the stored records, oldest first.
func (t *Table) Records() []Record {
	out := make([]Record, 0, len(t.records))
	for _, id := range t.order {
		if r, ok := t.records[id]; ok {
			out = append(out, r)
		}
	}
	return out
}

// Append adds a record, for example one read from a snapshot, as the newest.
// The id must not be in the table.
func (t *Table) Append(r Record) {
	t.records[r.id] = r
	t.order = append(t.order, r.id)
}

// Claim claims an id for a holder and keeps the record at least for the
// retention time, unless Settle releases the id before. It returns Granted if the
// id is new, Settled if its outcome is known, InDoubt if another holder has an open
// claim on it, and Full if the table is full. Until the claim is settled, Claim is
// idempotent for the same holder, which may repeat it after a lost response. The
// time now is taken from the replicated log, so that every replica removes the same
// expired ids.
func (t *Table) Claim(id, holder string, retention time.Duration, now time.Time) Outcome {
	t.removeExpired(now)
	if r, ok := t.records[id]; ok {
		switch {
		case r.settled:
			return Settled{code: r.code, body: r.body}
		case r.holder == holder:
			return Granted{}
		}
		return InDoubt{}
	}
	if len(t.records) >= maxClaims {
		return Full{}
	}
	t.Append(Record{id: id, holder: holder, expires: now.Add(retention)})
	return Granted{}
}

// Settle records the outcome of a claimed request. If the code says that the
// request was not run, the id is released and can be claimed again. If the code
// leaves open whether it was run, the claim stays unsettled. Only the holder can
// settle a claim, and a claim that is settled does not change.
func (t *Table) Settle(id, holder string, code result.Code, body []byte) {
	r, ok := t.records[id]
	if !ok || r.settled || r.holder != holder {
		return
	}
	if code.Execution() == result.NotRun {
		t.release(id)
		return
	}
	r.settled = code.Execution() == result.Run
	r.code = code
	r.body = body
	t.records[id] = r
}

// release removes an id. It is searched from the newest on, because a request that
// was not run is settled soon after its claim.
func (t *Table) release(id string) {
	delete(t.records, id)
	for n := len(t.order) - 1; n >= 0; n-- {
		if t.order[n] == id {
			t.order = slices.Delete(t.order, n, n+1)
			return
		}
	}
}

// removeExpired removes the expired records at the front of the order, up to
// the first one that has not expired.
func (t *Table) removeExpired(now time.Time) {
	n := 0
	for _, id := range t.order {
		if t.records[id].expires.After(now) {
			break
		}
		delete(t.records, id)
		n++
	}
	t.order = t.order[n:]
}
