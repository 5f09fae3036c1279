// Package claim keeps the ids of non-idempotent requests: the first to claim
// an id may run it, and whoever comes later gets the first outcome.
package claim

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// maxClaims bounds the ids that are kept; the oldest are forgotten first only
// when their time is over, so beyond the bound new ids are refused.
const maxClaims = 2_000_000

// Outcome is the answer to a claim: Granted, Open, Settled or Full.
type Outcome interface{ outcome() }

// Granted says that the request may be sent, by this claimant and once.
type Granted struct{}

// InDoubt says that another claimant may have sent the request and its outcome
// is not known.
type InDoubt struct{}

// Settled carries the outcome of the request that ran first.
type Settled struct {
	code result.Code
	body []byte
}

// Full says that no more ids can be kept; the request must not be sent.
type Full struct{}

func (Granted) outcome() {}
func (InDoubt) outcome() {}
func (Settled) outcome() {}
func (Full) outcome()    {}

// NewSettled returns a settled outcome, as codecs need it.
func NewSettled(code result.Code, body []byte) Settled {
	return Settled{code: code, body: body}
}

// Code returns the result code of the first run.
func (s Settled) Code() result.Code { return s.code }

// Body returns the result of the first run, one JSON value.
func (s Settled) Body() []byte { return s.body }

// Record is one id that is kept.
type Record struct {
	id      string
	holder  string
	expires time.Time
	settled bool
	code    result.Code
	body    []byte
}

// NewRecord returns a record, as codecs need it.
func NewRecord(id, holder string, expires time.Time, settled bool, code result.Code, body []byte) Record {
	return Record{id: id, holder: holder, expires: expires, settled: settled, code: code, body: body}
}

// ID returns the request id.
func (r Record) ID() string { return r.id }

// Holder returns the token of the claimant.
func (r Record) Holder() string { return r.holder }

// Expires returns the time after which the id may be forgotten.
func (r Record) Expires() time.Time { return r.expires }

// Settled returns the outcome, and whether it is known.
func (r Record) Settled() (code result.Code, body []byte, known bool) {
	return r.code, r.body, r.settled
}

// Table holds the claims. It is a plain value without a lock; the replicated
// log applies one command after another.
type Table struct {
	records map[string]Record
	order   []string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[string]Record)}
}

// Len returns the number of ids that are kept.
func (t *Table) Len() int { return len(t.records) }

// Records returns the records from the oldest on.
func (t *Table) Records() []Record {
	out := make([]Record, 0, len(t.records))
	for _, id := range t.order {
		if r, ok := t.records[id]; ok {
			out = append(out, r)
		}
	}
	return out
}

// Restore puts a record back, as it was in a snapshot.
func (t *Table) Restore(r Record) {
	t.records[r.id] = r
	t.order = append(t.order, r.id)
}

// Claim takes an id for a holder. The same holder may ask again, for example
// after a lost answer, and is told the same. The time comes from the log, so
// that every replica forgets the same ids.
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
	t.Restore(Record{id: id, holder: holder, expires: now.Add(retention)})
	return Granted{}
}

// Settle notes the outcome of a claimed request. A request that was truthfully
// not run gives its id back. Only the holder may settle, and only once.
func (t *Table) Settle(id, holder string, code result.Code, body []byte) {
	r, ok := t.records[id]
	if !ok || r.settled || r.holder != holder {
		return
	}
	if code.Execution() == result.NotRun {
		delete(t.records, id)
		return
	}
	r.settled = code.Execution() == result.Run
	r.code = code
	r.body = body
	t.records[id] = r
}

// removeExpired drops the ids at the front of the order whose time is over.
func (t *Table) removeExpired(now time.Time) {
	n := 0
	for _, id := range t.order {
		r, ok := t.records[id]
		if ok && r.expires.After(now) {
			break
		}
		delete(t.records, id)
		n++
	}
	t.order = t.order[n:]
}
