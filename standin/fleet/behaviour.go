// Package fleet serves fake targets: many leafs on many loopback ports in one
// process, each with slots, a connection limit, a cold start, snapshots and
// faults that are switched at run time through an HTTP control interface. It
// fakes only the interface of a target; it does not simulate a cluster.
package fleet

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// behaviour holds the settings of a leaf that the control interface can change.
// Shares are probabilities from 0 to 1.
type behaviour struct {
	// serviceTime is the mean time of a request that is no straggler.
	serviceTime time.Duration
	// stragglerShare is the share of requests that take stragglerFactor times
	// as long.
	stragglerShare  float64
	stragglerFactor int
	// silent leafs read requests and never answer.
	silent bool
	// oldConnsSilent has no effect: Leaf.setBehaviour handles its key.
	oldConnsSilent bool
	// down leafs close every connection.
	down bool
	// shedding leafs refuse every sub-request, as shed unless it is already
	// refused because of leaving or of its snapshot.
	shedding bool
	// leaving leafs refuse every sub-request and report the state leaving.
	leaving bool
	// coldUnreported leafs report the state warm while they are cold.
	coldUnreported bool
	// healthLag is the minimum age of the state that the health check reports,
	// once a state of that age is known.
	healthLag time.Duration
	// healthLies makes the health check always report the state warm.
	healthLies bool
	// ignoresPin makes the leaf execute a request for a snapshot that it does
	// not hold on its latest snapshot instead of refusing it.
	ignoresPin bool
	// crossed is the share of responses that carry the id and the result of
	// another request.
	crossed float64
	// truncated is the share of responses that end after half of the body.
	truncated float64
	// oversized is the share of responses with a body of over oversizedBytes.
	oversized float64
	// malformed is the share of responses whose body is not valid JSON.
	malformed float64
	// dropped is the share of requests whose connection is closed without a
	// response.
	dropped float64
	// snapshots are the names of the snapshots that the leaf holds, latest last.
	snapshots []string
}

// Default settings of a leaf.
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

// set changes one setting by its kebab-case name. It returns an error for an
// unknown name and for an invalid value; an invalid value nevertheless overwrites
// the setting, with the result of the failed conversion.
func (b *behaviour) set(key, value string) error {
	if flag := b.flag(key); flag != nil {
		on, err := strconv.ParseBool(value)
		*flag = on
		return errors.Wrapf(err, "setting %s must be true or false", key)
	}
	if share := b.share(key); share != nil {
		n, err := strconv.ParseFloat(value, 64)
		*share = n
		return errors.Wrapf(err, "setting %s must be a number", key)
	}
	switch key {
	case "service-time-us":
		n, err := strconv.Atoi(value)
		b.serviceTime = time.Duration(n) * time.Microsecond
		return errors.Wrapf(err, "setting %s must be an integer", key)
	case "straggler-factor":
		n, err := strconv.Atoi(value)
		b.stragglerFactor = n
		return errors.Wrapf(err, "setting %s must be an integer", key)
	case "health-lag-ms":
		n, err := strconv.Atoi(value)
		b.healthLag = time.Duration(n) * time.Millisecond
		return errors.Wrapf(err, "setting %s must be an integer", key)
	case "snapshots":
		b.snapshots = strings.Split(value, ",")
		return nil
	}
	return errors.Newf("unknown setting %q", key)
}

// flag returns the boolean setting of a key, or nil if the key names none.
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

// share returns the share setting of a key, or nil if the key names none.
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
