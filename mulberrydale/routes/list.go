package routes

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/listing"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/version/document"
)

const (
	// pathTargets is where the list stands at its address.
	pathTargets  = "/targets"
	maxListBytes = 64 << 20
	maxSlots     = 1 << 20
)

// list reads the list of targets.
type list struct {
	client *listing.Client
	log    *zap.Logger
}

func newList(address string, log *zap.Logger) *list {
	return &list{client: listing.NewClient(address, maxListBytes), log: log}
}

// Read returns all targets of the list.
func (l *list) Read(ctx context.Context) ([]discovery.Instance, error) {
	text, err := l.client.Get(ctx, pathTargets, nil)
	if err != nil {
		return nil, err
	}
	targets, bad, err := decodeTargets(text)
	if bad > 0 {
		l.log.Warn("entries of the target list can't be read and are passed over", zap.Int("entries", bad))
	}
	return targets, err
}

// decodeTargets decodes the list. An entry that can't be read is left out and
// counted; the others hold.
func decodeTargets(text []byte) (out []discovery.Instance, bad int, err error) {
	doc, err := document.Parse(text)
	if err != nil {
		return nil, 0, err
	}
	entries := doc.Root().Objects("targets")
	if len(entries) == 0 && doc.FaultCount() > 0 {
		return nil, 0, doc.Err()
	}
	for _, o := range entries {
		before := doc.FaultCount()
		i := discovery.NewInstance(o.String("id"), o.String("service"), o.String("address"), o.String("data-centre"), o.IntOr("slots", 0, maxSlots, 0)).
			WithLeaving(o.BoolOr("leaving", false)).
			WithColdFor(time.Duration(o.IntOr("cold-ms", 0, maxMillis, 0)) * time.Millisecond)
		if doc.FaultCount() > before || i.ID() == "" || !discovery.ValidAddress(i.Address()) {
			bad++
			continue
		}
		out = append(out, i)
	}
	return out, bad, nil
}
