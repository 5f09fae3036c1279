// Package fleet plays targets: many leafs on many loopback ports in one
// process, each with slots, a connection limit, a cold start, snapshots and
// faults that a control page switches while it runs. It is a fake at the
// interface of a target, not a simulator of a cluster.
package fleet

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// behaviour is what a control page can switch on one leaf.
type behaviour struct {
	serviceTime     time.Duration
	stragglerShare  float64
	stragglerFactor int
	silent          bool
	oldConnsSilent  bool
	down            bool
	shedding        bool
	leaving         bool
	coldUnreported  bool
	healthLag       time.Duration
	healthLies      bool
	ignoresPin      bool
	crossed         float64
	truncated       float64
	oversized       float64
	malformed       float64
	dropped         float64
	snapshots       []string
}

// Defaults of a leaf.
const (
	defaultServiceTime     = 5 * time.Millisecond
	defaultStragglerFactor = 10
	defaultSnapshot        = "snapshot-0001"
)

func newBehaviour() behaviour {
	return behaviour{
		serviceTime:     defaultServiceTime,
		stragglerFactor: defaultStragglerFactor,
		snapshots:       []string{defaultSnapshot},
	}
}

// set changes one setting by its kebab-case name.
func (b *behaviour) set(key, value string) error {
	if flag := b.flag(key); flag != nil {
		on, err := strconv.ParseBool(value)
		*flag = on
		return errors.Wrapf(err, "%s wants true or false", key)
	}
	if share := b.share(key); share != nil {
		n, err := strconv.ParseFloat(value, 64)
		*share = n
		return errors.Wrapf(err, "%s wants a number", key)
	}
	switch key {
	case "service-time-us":
		n, err := strconv.Atoi(value)
		b.serviceTime = time.Duration(n) * time.Microsecond
		return errors.Wrapf(err, "%s wants a whole number", key)
	case "straggler-factor":
		n, err := strconv.Atoi(value)
		b.stragglerFactor = n
		return errors.Wrapf(err, "%s wants a whole number", key)
	case "health-lag-ms":
		n, err := strconv.Atoi(value)
		b.healthLag = time.Duration(n) * time.Millisecond
		return errors.Wrapf(err, "%s wants a whole number", key)
	case "snapshots":
		b.snapshots = strings.Split(value, ",")
		return nil
	}
	return errors.Newf("no setting %q", key)
}

func (b *behaviour) flag(key string) *bool {
	switch key {
	case "silent":
		return &b.silent
	case "old-connections-silent":
		return &b.oldConnsSilent
	case "down":
		return &b.down
	case "shedding":
		return &b.shedding
	case "leaving":
		return &b.leaving
	case "untold":
		return &b.coldUnreported
	case "health-lies":
		return &b.healthLies
	case "ignores-pin":
		return &b.ignoresPin
	}
	return nil
}

func (b *behaviour) share(key string) *float64 {
	switch key {
	case "straggler-share":
		return &b.stragglerShare
	case "crossed":
		return &b.crossed
	case "truncated":
		return &b.truncated
	case "oversized":
		return &b.oversized
	case "malformed":
		return &b.malformed
	case "dropped":
		return &b.dropped
	}
	return nil
}
