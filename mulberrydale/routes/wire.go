// Package routes defines the product's own formats for a server process that
// routes requests, as opposed to the formats of a platform: its settings file, the
// document of routes, the target list, the HTTP headers and the operators' calls.
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

// Paths of the operators' calls. /data-centres/NAME/out takes a data centre out of
// service (PUT) or puts it back (DELETE).
const (
	pathRoutes         = "/routes"
	pathDataCentres    = "/data-centres/"
	suffixOutOfService = "/out"
)

// Wire implements host.Adapter with the product's own formats.
type Wire struct{}

var _ host.Adapter = Wire{}

// DecodeSettings decodes a settings file.
func (Wire) DecodeSettings(text []byte) (host.Settings, error) { return DecodeSettings(text) }

// DecodeRoutes decodes a document of routes.
func (Wire) DecodeRoutes(document []byte) (*routing.Table, error) { return Decode(document) }

// AcceptRoutes decodes a document of routes that an operator publishes.
func (Wire) AcceptRoutes(document []byte) (*routing.Table, error) { return Decode(document) }

// HeaderNames returns the product's own header names.
func (Wire) HeaderNames() exchange.HeaderNames { return exchange.OwnHeaderNames() }

// NewListReader returns a reader of the target list at the address in the settings.
func (Wire) NewListReader(s host.Settings, log *zap.Logger) cluster.ListReader {
	return newListReader(s.ListAddress(), log)
}

// OperatorHandler returns the HTTP handler through which operators publish and
// read the routes, take data centres out of service and back, and order rollouts.
func (Wire) OperatorHandler(c *host.OperatorAPI) http.Handler { return operators{api: c} }

// operators handles the operators' calls.
type operators struct{ api *host.OperatorAPI }

// ServeHTTP handles one call. An unknown method or path is answered with status 404.
func (o operators) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	dataCentre := strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, pathDataCentres), suffixOutOfService)
	isDataCentre := dataCentre != "" && !strings.Contains(dataCentre, "/") && r.URL.Path == pathDataCentres+dataCentre+suffixOutOfService
	service, isRollout := strings.CutPrefix(r.URL.Path, pathRollouts)
	switch {
	case isRollout && service != "" && r.Method == http.MethodPut:
		o.startRollout(w, r, service)
	case isRollout && service != "" && r.Method == http.MethodGet:
		o.api.ReadRollout(w, r, service, encodeRollout)
	case r.URL.Path == pathRoutes && r.Method == http.MethodPut:
		o.api.Publish(w, r)
	case r.URL.Path == pathRoutes && r.Method == http.MethodGet:
		o.api.Read(w, r)
	case isDataCentre && r.Method == http.MethodPut:
		o.api.SetOutOfService(w, r, dataCentre, true)
	case isDataCentre && r.Method == http.MethodDelete:
		o.api.SetOutOfService(w, r, dataCentre, false)
	default:
		host.WriteError(w, http.StatusNotFound, result.New(result.NotAllowed, "%s %s is not an operators' call", r.Method, r.URL.Path))
	}
}
