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
	// pathTargets is the path of the target list.
	pathTargets = "/targets"
	// maxListBytes limits the size of the target list.
	maxListBytes = 64 << 20
	// maxSlots is the upper bound of the key slots, the number of requests that a
	// target runs concurrently.
	maxSlots = 1 << 20
)

// listReader reads the target list over HTTP.
type listReader struct {
	client *listing.Client
	log    *zap.Logger
}

func newListReader(address string, log *zap.Logger) *listReader {
	return &listReader{client: listing.NewClient(address, maxListBytes), log: log}
}

// Read fetches the target list and returns its valid entries. It logs the number
// of invalid ones.
func (l *listReader) Read(ctx context.Context) ([]discovery.Instance, error) {
	text, err := l.client.Get(ctx, pathTargets, nil)
	if err != nil {
		return nil, err
	}
	targets, invalid, err := decodeTargets(text)
	if invalid > 0 {
		l.log.Warn("skipped invalid entries of the target list", zap.Int("entries", invalid))
	}
	return targets, err
}

// decodeTargets decodes the target list. It skips invalid entries, such as those with
// a duplicate key, and returns their number. It returns an error if the text without the
// entries is not a JSON object with unique keys, or its key targets holds no list.
func decodeTargets(text []byte) (instances []discovery.Instance, invalid int, err error) {
	list, err := document.ParseList(text, "targets")
	if err != nil {
		return nil, 0, err
	}
	invalid = list.Invalid()
	for _, o := range list.Elements() {
		i := discovery.NewInstance(o.String("id"), o.String("service"), o.String("address"), o.String("data-centre"), o.IntOr("slots", 0, maxSlots, 0)).
			WithLeaving(o.BoolOr("leaving", false)).
			WithVersion(o.StringOr("version", "")).
			WithColdFor(time.Duration(o.IntOr("cold-ms", 0, maxMillis, 0)) * time.Millisecond)
		if o.Err() != nil || i.ID() == "" || !discovery.ValidAddress(i.Address()) {
			invalid++
			continue
		}
		instances = append(instances, i)
	}
	return instances, invalid, nil
}
