package fleet

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-json-experiment/json/jsontext"
)

// Outcomes in the journal. All but ConnectionRefused are outcomes of a
// sub-request.
const (
	// Ran means that the sub-request was executed; its response may be faulty.
	Ran = "ran"
	// Shed means that the sub-request was refused because the queue was full or
	// the leaf was set to shed load.
	Shed = "shed"
	// RefusedLeaving means that the leaf was leaving.
	RefusedLeaving = "refused-leaving"
	// RefusedSnapshot means that the leaf did not hold the snapshot wanted.
	RefusedSnapshot = "refused-snapshot"
	// Abandoned means that the deadline passed or the client disconnected
	// while the sub-request waited for a slot.
	Abandoned = "abandoned"
	// Silenced means that the leaf deliberately gave no answer.
	Silenced = "silenced"
	// ConnectionRefused means that a connection over the limit was closed.
	ConnectionRefused = "connection-refused"
)

// Record is one line of the journal: a sub-request and its outcome, or a
// refused connection. caller is the id that the caller sent in the parameters.
// fault names the fault of the response: "silent" for the outcome Silenced, and
// "" if there is none. A refused connection has only at, leaf and outcome.
type Record struct {
	at        time.Time
	leaf      string
	operation string
	requestID string
	caller    string
	snapshot  string
	outcome   string
	fault     string
	cold      bool
}

// Journal records the sub-requests that reached the leafs of a fleet and the
// connections that the leafs refused.
type Journal struct {
	mu      sync.Mutex
	records []Record
}

func (j *Journal) add(r Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, r)
}

func (j *Journal) clear() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = nil
}

// write writes the journal as JSON lines.
func (j *Journal) write(w io.Writer) error {
	j.mu.Lock()
	// Records are never changed once they are added, so they are written without
	// the lock.
	records := j.records[:len(j.records):len(j.records)]
	j.mu.Unlock()
	buffered := bufio.NewWriter(w)
	for _, r := range records {
		fmt.Fprintf(buffered, `{"at-us":%d,"leaf":%s,"operation":%s,"request":%s,"caller":%s,"snapshot":%s,"outcome":%s,"fault":%s,"cold":%t}`+"\n",
			r.at.UnixMicro(), quote(r.leaf), quote(r.operation), quote(r.requestID), quote(r.caller),
			quote(r.snapshot), quote(r.outcome), quote(r.fault), r.cold)
	}
	return buffered.Flush()
}

// quote returns s as a JSON string, or an empty JSON string if s is not valid
// UTF-8.
func quote(s string) string {
	quoted, err := jsontext.AppendQuote(nil, s)
	if err != nil {
		return `""`
	}
	return string(quoted)
}
