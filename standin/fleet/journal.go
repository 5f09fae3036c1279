package fleet

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-json-experiment/json/jsontext"
)

// Outcomes of a sub-request in the journal.
const (
	Ran               = "ran"
	Shed              = "shed"
	RefusedLeaving    = "refused-leaving"
	RefusedSnapshot   = "refused-snapshot"
	Abandoned         = "abandoned"
	Silenced          = "silenced"
	ConnectionRefused = "connection-refused"
)

// Record is one line of the journal: what a leaf did, by its own account.
type Record struct {
	at        time.Time
	leaf      string
	operation string
	request   string
	caller    string
	snapshot  string
	outcome   string
	fault     string
	cold      bool
}

// Journal is the fleet's account of everything that reached its leafs.
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

// write prints the journal as JSON lines.
func (j *Journal) write(w io.Writer) error {
	j.mu.Lock()
	records := j.records[:len(j.records):len(j.records)]
	j.mu.Unlock()
	buffered := bufio.NewWriter(w)
	for _, r := range records {
		fmt.Fprintf(buffered, `{"at-us":%d,"leaf":%s,"operation":%s,"request":%s,"caller":%s,"snapshot":%s,"outcome":%s,"fault":%s,"cold":%t}`+"\n",
			r.at.UnixMicro(), quote(r.leaf), quote(r.operation), quote(r.request), quote(r.caller),
			quote(r.snapshot), quote(r.outcome), quote(r.fault), r.cold)
	}
	return buffered.Flush()
}

func quote(s string) string {
	quoted, err := jsontext.AppendQuote(nil, s)
	if err != nil {
		return `""`
	}
	return string(quoted)
}
