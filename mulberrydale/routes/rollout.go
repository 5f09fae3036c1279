package routes

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/host"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
	"github.com/mulberrydale/mulberrydale/core/version/document"
)

// pathRollouts precedes the name of a service. PUT orders a rollout, GET returns the state
// of the latest one.
const pathRollouts = "/rollouts/"

// startRollout passes on the order in the body of a request.
func (o operators) startRollout(w http.ResponseWriter, r *http.Request, service string) {
	text, ok := host.ReadOrder(w, r)
	if !ok {
		return
	}
	order, err := decodeOrder(service, text)
	if err != nil {
		host.WriteError(w, http.StatusBadRequest, err)
		return
	}
	o.api.StartRollout(w, r, order)
}

// decodeOrder decodes the order of a rollout of a service.
func decodeOrder(service string, text []byte) (host.RolloutOrder, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return host.RolloutOrder{}, err
	}
	root := doc.Root()
	order := host.NewRolloutOrder(service, root.String("version"), time.Duration(root.Int("duration-ms", 1, maxMillis))*time.Millisecond)
	root.ReportUnknownKeys()
	return order, doc.Err()
}

// encodeRollout encodes the state of a rollout: running, succeeded or rolled-back.
func encodeRollout(r rollout.Record) []byte {
	// A map of strings can always be encoded.
	text, _ := json.Marshal(map[string]string{"state": r.State().String(), "version": r.Version()})
	return text
}

// decodeRolloutBounds decodes the key rollouts of the settings.
func decodeRolloutBounds(root *document.Object) rollout.Bounds {
	if !root.Has("rollouts") {
		return rollout.DefaultBounds()
	}
	o := root.Object("rollouts")
	b := rollout.NewBounds(
		o.NumberOr("exposure-share", 0, 1, rollout.DefaultExposureShare),
		o.NumberOr("exposure-slack", 0, maxRequestsInWindow, rollout.DefaultExposureSlack),
		time.Duration(o.IntOr("rollback-ms", 0, maxMillis, int(rollout.DefaultRollbackTime.Milliseconds())))*time.Millisecond,
		o.Has("exposure-share"))
	o.ReportUnknownKeys()
	return b
}
