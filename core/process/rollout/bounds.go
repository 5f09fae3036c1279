package rollout

import "time"

// Defaults of the bounds.
const (
	DefaultExposureShare = 0.1
	DefaultExposureSlack = 50
	DefaultRollbackTime  = 5 * time.Second
)

const (
	// maxGrantTTL is the longest time for which a grant is valid after the report that
	// it answers was sent, and maxMovingTTL the same in the stages after Test, in which
	// the new version gets most requests.
	maxGrantTTL  = 1200 * time.Millisecond
	maxMovingTTL = 600 * time.Millisecond
	// grantTTLFraction is the largest part of the rollback time for which a VM that gets
	// no further grants may go on sending.
	grantTTLFraction = 0.4
)

// Bounds are the limits that hold for every rollout, over all VMs together.
type Bounds struct {
	exposureShare float64
	exposureSlack float64
	rollbackTime  time.Duration
	enforced      bool
}

// NewBounds returns bounds: a bad version gets at most share of the requests between the
// order and the deadline plus slack, and nothing later than rollback after its 50th bad
// response. If enforced is true, targets of versions that were never ordered get nothing,
// even for services without a rollout.
func NewBounds(share, slack float64, rollback time.Duration, enforced bool) Bounds {
	return Bounds{exposureShare: share, exposureSlack: slack, rollbackTime: rollback, enforced: enforced}
}

// DefaultBounds returns the bounds of an installation whose settings have none.
func DefaultBounds() Bounds {
	return NewBounds(DefaultExposureShare, DefaultExposureSlack, DefaultRollbackTime, false)
}

// Enforced reports whether the versions in use are recorded and enforced for services
// without a rollout.
func (b Bounds) Enforced() bool { return b.enforced }

// GrantTTL returns how long a grant of a stage is valid after the report that it answers
// was sent.
func (b Bounds) GrantTTL(s Stage) time.Duration {
	ttl := maxGrantTTL
	if s > Test {
		ttl = maxMovingTTL
	}
	return min(ttl, time.Duration(grantTTLFraction*float64(b.rollbackTime)))
}
