package control

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

// Status is the state of the control role at one point in time.
type Status struct {
	member       replica.Member
	bootstrapped bool
	leader       string
	leads        bool
	term         uint64
	commit       uint64
	voters       replica.Voters
	version      uint64
	document     []byte
	routes       replica.Routes
	caughtUp     bool
	quorumAge    time.Duration
	// at is when this status was made.
	at bootclock.Time
	// applied is set if all committed entries are applied.
	applied    bool
	leadership Leadership
}

// Member returns the replica id and the VM of this process.
func (s Status) Member() replica.Member { return s.member }

// Bootstrapped reports whether the replica has a set of voters, so that a log
// exists.
func (s Status) Bootstrapped() bool { return s.bootstrapped }

// Leader returns the VM of the leader, or the empty string if the leader is
// unknown.
func (s Status) Leader() string { return s.leader }

// Leads reports whether this VM is the leader.
func (s Status) Leads() bool { return s.leads }

// Term returns the current term.
func (s Status) Term() uint64 { return s.term }

// Commit returns the index of the last committed entry.
func (s Status) Commit() uint64 { return s.commit }

// Position returns the position of the last entry that this VM knows to be committed, as
// the base of a replica.Order.
func (s Status) Position() replica.Position { return replica.NewPosition(s.term, s.commit) }

// Voters returns the members that vote in elections and acknowledge entries.
func (s Status) Voters() replica.Voters { return s.voters }

// Version returns the accepted configuration version, 0 for none.
func (s Status) Version() uint64 { return s.version }

// Document returns the text of the accepted configuration.
func (s Status) Document() []byte { return s.document }

// Routes returns the accepted routes.
func (s Status) Routes() replica.Routes { return s.routes }

// CaughtUp reports whether this replica has, since its process started, applied
// everything that was acknowledged until then. Before that, the configuration and the
// routes may be those of the last snapshot, which later ones have replaced.
func (s Status) CaughtUp() bool { return s.caughtUp }

// QuorumAge returns the time since the last contact of the leader with a quorum, as
// far as this VM knows; see replica.Node.QuorumAge. It grows until the next status.
func (s Status) QuorumAge(now bootclock.Time) time.Duration {
	return s.quorumAge + now.Sub(s.at)
}

// RoutesProvenAt returns the latest time for which this VM, as the leader, can prove that no
// revision above that of Routes was acknowledged before it. It returns false on any other
// VM, and before the leader has committed an entry of its own term. The time does not change
// while this VM is suspended or can't reach a quorum.
func (s Status) RoutesProvenAt() (bootclock.Time, bool) {
	return s.leadership.quorumContact, s.leadership.hasQuorumContact && s.applied
}
