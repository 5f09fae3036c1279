package untrusted

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
)

// Resources that the settings state, which are also the bounds of the tests. They are
// lower than those of any installation, so that the callers below suffice to exceed
// them where a limit is missing.
const (
	memoryMB     = 64
	maxOpenFiles = 300
)

// document is the document of routes. Its limits are those of the largest installation.
const document = `{
	"version": 1,
	"routes": [
		{"name": "round", "host": "h.example", "path": "/round/", "kind": "idempotent", "time-limit-ms": 2000, "objective-ms": 500,
		 "rank": 1, "attempts": 2, "shards": ["s-1", "s-2"], "top": 20, "least-share": 0.5},
		{"name": "door", "host": "h.example", "path": "/", "kind": "idempotent", "time-limit-ms": 2000, "services": [{"name": "s-1"}]},
	],
	"services": [{"name": "s-1"}, {"name": "s-2"}],
	"limits": {"header-bytes": 16384, "body-bytes": 262144, "header-ms": 3000, "idle-ms": 15000},
}`

// installation is a control VM, and the addresses and settings of an entry VM.
type installation struct {
	control                             *server
	operators, sessions, controlMetrics string
	callers, readiness, metrics         string
	entrySettings                       string
	ordinaryCall, ordinaryQuery         ordinary
}

// newInstallation starts a control VM with the document of routes, and two targets.
func newInstallation(t *testing.T) *installation {
	t.Helper()
	leafs := httptest.NewServer(http.HandlerFunc(answerAsLeaf))
	t.Cleanup(leafs.Close)
	address := strings.TrimPrefix(leafs.URL, "http://")
	return newInstallationOf(t, document, []string{address, address})
}

// newInstallationOf starts a control VM with a document of routes. The services s-1, s-2 and
// so on have a target each, at the given addresses.
func newInstallationOf(t *testing.T, document string, leafs []string) *installation {
	t.Helper()
	targets := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var entries []string
		for n, address := range leafs {
			entries = append(entries, fmt.Sprintf(`{"id": "i-%d", "service": "s-%d", "address": %q, "data-centre": "d-1", "slots": 50}`, n+1, n+1, address))
		}
		_, _ = io.WriteString(w, `{"targets": [`+strings.Join(entries, ",")+`]}`)
	}))
	t.Cleanup(targets.Close)
	a := freeAddresses(t, 6)
	i := &installation{sessions: a[0], operators: a[1], controlMetrics: a[2], callers: a[3], readiness: a[4], metrics: a[5]}
	common := fmt.Sprintf(`"data-centre": "d-1", "seeds": [%q], "first-start": true, "targets-address": %q, "further-sends": {"slack": 10}, "memory-limit-mb": %d, "open-files-limit": %d`,
		i.sessions, strings.TrimPrefix(targets.URL, "http://"), memoryMB, maxOpenFiles)
	i.control = startServer(t, "route", fmt.Sprintf(`{"vm": "control-1", %s, "operators-address": %q, "sessions-address": %q, "data-folder": %q, "losses": 0, "metrics-address": %q}`,
		common, i.operators, i.sessions, t.TempDir(), i.controlMetrics))
	i.entrySettings = fmt.Sprintf(`{"vm": "entry-1", %s, "callers-address": %q, "readiness-address": %q, "metrics-address": %q}`,
		common, i.callers, i.readiness, i.metrics)
	i.ordinaryCall = ordinary{method: http.MethodGet, url: "http://" + i.operators + "/routes", status: http.StatusOK}
	i.ordinaryQuery = ordinary{method: http.MethodPost, url: "http://" + i.callers + "/round/1", host: "h.example", body: "body", status: http.StatusOK}
	ordinary{method: http.MethodPut, url: "http://" + i.operators + "/routes", body: document, status: http.StatusOK}.waitUntilAnswered(t)
	return i
}

// startEntry starts the entry VM and waits until it answers.
func (i *installation) startEntry(t *testing.T) *server {
	t.Helper()
	entry := startServer(t, "route", i.entrySettings)
	ordinary{method: http.MethodGet, url: "http://" + i.readiness + "/", status: http.StatusOK}.waitUntilAnswered(t)
	i.ordinaryQuery.waitUntilAnswered(t)
	return entry
}

// answerAsLeaf answers as a target: with one record of 16 bytes.
func answerAsLeaf(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	names := exchange.OwnHeaderNames()
	w.Header().Set(names.Request(), r.Header.Get(names.Request()))
	w.Header().Set(names.Signature(), "signature")
	_, _ = io.WriteString(w, strings.Repeat("r", 16))
}
