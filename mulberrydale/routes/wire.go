// Package routes is the tier's own form of what a process reads that answers
// callers by routes: its settings, the document of routes, the list of targets
// and the operators' calls.
package routes

import (
	"net/http"
	"strings"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/process/cluster"
	"github.com/mulberrydale/mulberrydale/core/process/host"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// Paths of the operators' calls.
const (
	pathRoutes      = "/routes"
	pathDataCentres = "/data-centres/"
	outOfService    = "/out"
)

// Wire is the tier's own form.
type Wire struct{}

var _ host.Wire = Wire{}

// Settings decodes a settings file.
func (Wire) Settings(text []byte) (host.Settings, error) { return DecodeSettings(text) }

// Routes decodes a document of routes.
func (Wire) Routes(document []byte) (*routing.Table, error) { return Decode(document) }

// Names returns the tier's own headers.
func (Wire) Names() exchange.HeaderNames { return exchange.OwnHeaderNames() }

// Reader returns the reader of the list of targets.
func (Wire) Reader(s host.Settings, log *zap.Logger) cluster.ListReader {
	return newList(s.ListAddress(), log)
}

// Operators returns the handler of the operators' calls.
func (Wire) Operators(c *host.Changes) http.Handler { return operators{changes: c} }

// operators answers the operators' calls.
type operators struct{ changes *host.Changes }

// ServeHTTP answers one call.
func (o operators) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	centre := strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, pathDataCentres), outOfService)
	isCentre := centre != "" && !strings.Contains(centre, "/") && r.URL.Path == pathDataCentres+centre+outOfService
	switch {
	case r.URL.Path == pathRoutes && r.Method == http.MethodPut:
		o.changes.Publish(w, r)
	case r.URL.Path == pathRoutes && r.Method == http.MethodGet:
		o.changes.Read(w, r)
	case isCentre && r.Method == http.MethodPut:
		o.changes.Withdraw(w, r, centre, true)
	case isCentre && r.Method == http.MethodDelete:
		o.changes.Withdraw(w, r, centre, false)
	default:
		host.WriteError(w, http.StatusNotFound, result.New(result.NotAllowed, "the call %s %s is not served", r.Method, r.URL.Path))
	}
}
