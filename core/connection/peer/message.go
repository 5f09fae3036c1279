// Package peer defines the messages between the processes of this system and
// exchanges them over a mesh of one-way connections that carry frames. A
// connection without messages is closed and dialled again. The messages can
// also be sent over the connections of package session, which have no Hello; those
// from Presence on in the list at Message are sent there only.
package peer

import "time"

// Message is a message between processes: Hello, Heartbeat, ReplicaMessage,
// ConfigurationPush, ForwardedCommand, Reply, TargetUpdates, Presence,
// PublishedRoutes, ReadRoutes, TargetList, LateResponses, Unchanged,
// ConfirmRevision, RevisionConfirmed, RolloutReports, RolloutGrants, TokenRequest,
// TokenGrant or TargetSlowness.
type Message interface{ message() }

// Hello identifies the sender; it is the first message of each connection of
// a mesh.
type Hello struct {
	cluster    string
	vm         string
	dataCentre string
	startID    string
}

// Heartbeat is sent periodically. It shows that the sender is alive and carries
// its state.
type Heartbeat struct {
	startID      string
	dataCentre   string
	version      uint64
	leaving      bool
	control      bool
	replicaID    string
	bootstrapped bool
	leader       string
	// quorumAge is the time since a quorum was last confirmed, and quorumVersion
	// the configuration version at that confirmation.
	quorumAge     time.Duration
	quorumVersion uint64
	// lastReceivedAge is the time since the sender last received a message from
	// the receiver of this heartbeat.
	lastReceivedAge time.Duration
}

// ReplicaMessage carries a message of the log replication protocol.
type ReplicaMessage struct{ payload []byte }

// ConfigurationPush carries an accepted configuration.
type ConfigurationPush struct {
	version  uint64
	document []byte
}

// ForwardedCommand carries a command for the leader of the replicated log.
type ForwardedCommand struct {
	number  uint64
	payload []byte
}

// Reply carries the response to a ForwardedCommand or ReadRoutes with the same
// number. The payload is empty if the receiver could not process the call.
type Reply struct {
	number  uint64
	payload []byte
}

// TargetUpdate reports the state of one target, a leaf, to other VMs. It is either
// a state change that the sender observed, or the current state, which a peer
// receives once after its start.
type TargetUpdate struct {
	target  string
	startID string
	state   string
	age     time.Duration
	rate    float64
}

// TargetUpdates carries the targets whose state has changed.
type TargetUpdates struct{ updates []TargetUpdate }

func (Hello) message()             {}
func (Heartbeat) message()         {}
func (ReplicaMessage) message()    {}
func (ConfigurationPush) message() {}
func (ForwardedCommand) message()  {}
func (Reply) message()             {}
func (TargetUpdates) message()     {}

// NewHello returns the first message of a connection.
func NewHello(cluster, vm, dataCentre, startID string) Hello {
	return Hello{cluster: cluster, vm: vm, dataCentre: dataCentre, startID: startID}
}

// VM returns the name of the sender.
func (h Hello) VM() string { return h.vm }

// DataCentre returns the data centre of the sender.
func (h Hello) DataCentre() string { return h.dataCentre }

// NewHeartbeat returns a heartbeat with the active configuration version of the
// sender.
func NewHeartbeat(startID, dataCentre string, version uint64, leaving bool) Heartbeat {
	return Heartbeat{startID: startID, dataCentre: dataCentre, version: version, leaving: leaving}
}

// WithReplica returns the heartbeat with the state of the sender's replica of
// the log. Only processes with the control role have one.
func (h Heartbeat) WithReplica(replicaID string, bootstrapped bool, leader string) Heartbeat {
	h.control = true
	h.replicaID = replicaID
	h.bootstrapped = bootstrapped
	h.leader = leader
	return h
}

// WithQuorum returns the heartbeat with the time since a quorum was last
// confirmed, and the configuration version at that confirmation.
func (h Heartbeat) WithQuorum(age time.Duration, version uint64) Heartbeat {
	h.quorumAge = age
	h.quorumVersion = version
	return h
}

// WithLastReceivedAge returns the heartbeat with the time since the sender last
// received a message from the receiver of this heartbeat.
func (h Heartbeat) WithLastReceivedAge(age time.Duration) Heartbeat {
	h.lastReceivedAge = age
	return h
}

// StartID returns the id that identifies one run of the sending process.
func (h Heartbeat) StartID() string { return h.startID }

// DataCentre returns the data centre of the sender.
func (h Heartbeat) DataCentre() string { return h.dataCentre }

// Version returns the active configuration version of the sender.
func (h Heartbeat) Version() uint64 { return h.version }

// Leaving reports whether the sender is about to stop.
func (h Heartbeat) Leaving() bool { return h.leaving }

// Replica returns the sender's replica id and whether its log is bootstrapped;
// control is false if the sender does not have the control role.
func (h Heartbeat) Replica() (replicaID string, bootstrapped, control bool) {
	return h.replicaID, h.bootstrapped, h.control
}

// Leader returns the name of the current leader according to the sender. It is
// empty if the sender knows no leader.
func (h Heartbeat) Leader() string { return h.leader }

// Quorum returns the time since a quorum was last confirmed, and the
// configuration version at that confirmation.
func (h Heartbeat) Quorum() (age time.Duration, version uint64) {
	return h.quorumAge, h.quorumVersion
}

// LastReceivedAge returns the time since the sender last received a message from
// the receiver of this heartbeat.
func (h Heartbeat) LastReceivedAge() time.Duration { return h.lastReceivedAge }

// NewReplicaMessage returns a message of the log replication protocol.
func NewReplicaMessage(payload []byte) ReplicaMessage { return ReplicaMessage{payload: payload} }

// Payload returns the encoded message of the replication protocol.
func (r ReplicaMessage) Payload() []byte { return r.payload }

// NewConfigurationPush returns a message with an accepted configuration.
func NewConfigurationPush(version uint64, document []byte) ConfigurationPush {
	return ConfigurationPush{version: version, document: document}
}

// Version returns the version of the configuration.
func (p ConfigurationPush) Version() uint64 { return p.version }

// Document returns the text of the configuration.
func (p ConfigurationPush) Document() []byte { return p.document }

// NewForwardedCommand returns a command for the leader. The reply repeats its
// number.
func NewForwardedCommand(number uint64, payload []byte) ForwardedCommand {
	return ForwardedCommand{number: number, payload: payload}
}

// Number returns the number that the reply repeats.
func (f ForwardedCommand) Number() uint64 { return f.number }

// Payload returns the encoded command.
func (f ForwardedCommand) Payload() []byte { return f.payload }

// NewReply returns the reply to the call with the given number.
func NewReply(number uint64, payload []byte) Reply {
	return Reply{number: number, payload: payload}
}

// Number returns the number of the call that this replies to.
func (r Reply) Number() uint64 { return r.number }

// Payload returns the encoded result, empty if the receiver could not process
// the call.
func (r Reply) Payload() []byte { return r.payload }

// NewTargetUpdate returns an update about one run of a target. The rate is the
// number of sub-requests per second that one VM may send to a target that is
// warming up.
func NewTargetUpdate(target, startID, state string, age time.Duration, rate float64) TargetUpdate {
	return TargetUpdate{target: target, startID: startID, state: state, age: age, rate: rate}
}

// Target returns the name of the target.
func (u TargetUpdate) Target() string { return u.target }

// StartID returns the id of the run of the target's process that the update is
// about.
func (u TargetUpdate) StartID() string { return u.startID }

// State returns the state that the sender observed.
func (u TargetUpdate) State() string { return u.state }

// Age returns how old the observation was when it was sent.
func (u TargetUpdate) Age() time.Duration { return u.age }

// Rate returns the number of sub-requests per second that one VM may send to
// a target that is warming up.
func (u TargetUpdate) Rate() float64 { return u.rate }

// NewTargetUpdates returns a message with updates.
func NewTargetUpdates(updates []TargetUpdate) TargetUpdates { return TargetUpdates{updates: updates} }

// Updates returns the state changes that the message carries.
func (t TargetUpdates) Updates() []TargetUpdate { return t.updates }
