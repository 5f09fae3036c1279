package fleet

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxListBytes bounds the length of a posted list of VMs. The rest of a longer
// list is ignored.
const maxListBytes = 1 << 20

// vmList fakes the platform's list of VMs. A posted list replaces the visible
// one after a lag.
type vmList struct {
	mu       sync.Mutex
	lag      time.Duration
	visible  string
	posted   string
	postedAt time.Time
	// pending is set while the posted list has not replaced the visible one.
	pending bool
}

// post stores a list that becomes visible after the lag. It replaces a posted
// list that is not visible yet.
func (v *vmList) post(text string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.update(now)
	v.posted = text
	v.postedAt = now
	v.pending = true
}

func (v *vmList) setLag(lag time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lag = lag
}

// text returns the visible list.
func (v *vmList) text(now time.Time) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.update(now)
	return v.visible
}

// update makes the posted list visible if its lag has passed. The caller holds
// v.mu.
func (v *vmList) update(now time.Time) {
	if v.pending && now.Sub(v.postedAt) >= v.lag {
		v.visible = v.posted
		v.pending = false
	}
}

// ControlHandler returns the handler of the control interface: GET /journal,
// DELETE /journal, POST /set?leafs=PATTERN&key=KEY&value=VALUE, and the
// platform's list of VMs at GET /vms and POST /vms?lag=DURATION.
func (f *Fleet) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		_ = f.journal.write(w)
	})
	mux.HandleFunc("DELETE /journal", func(http.ResponseWriter, *http.Request) {
		f.journal.clear()
	})
	mux.HandleFunc("POST /set", f.serveSet)
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, f.vms.text(time.Now()))
	})
	mux.HandleFunc("POST /vms", f.servePostVMs)
	return mux
}

func (f *Fleet) serveSet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	n, err := f.SetBehaviour(q.Get("leafs"), q.Get("key"), q.Get("value"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if n == 0 {
		http.Error(w, "no leaf name or data centre matches the pattern", http.StatusNotFound)
		return
	}
	fmt.Fprintf(w, "%d leafs\n", n)
}

// servePostVMs stores the posted list. A lag in the query applies to this list
// and later ones; an invalid lag is ignored.
func (f *Fleet) servePostVMs(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxListBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if lag, err := time.ParseDuration(r.URL.Query().Get("lag")); err == nil {
		f.vms.setLag(lag)
	}
	f.vms.post(string(text), time.Now())
}
