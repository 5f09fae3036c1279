// Package peer links the system's own processes: one-way connections of
// frames, redialled when they fall silent.
package peer

import "time"

// Message is what processes send each other: Hello, Beat, Replicate, Push,
// Forward, Reply, News, Presence, Published, Read or TargetList.
type Message interface{ message() }

// Hello is the first message of each connection.
type Hello struct {
	cluster    string
	vm         string
	dataCentre string
	startID    string
}

// Heartbeat says that a process lives and what it knows.
type Heartbeat struct {
	startID      string
	dataCentre   string
	version      uint64
	leaving      bool
	control      bool
	replicaID    string
	bootstrapped bool
	leader       string
	// quorumAge is how long ago a quorum was confirmed, at quorumVersion.
	quorumAge     time.Duration
	quorumVersion uint64
	// heardAge is how long ago the receiver was last heard.
	lastReceivedAge time.Duration
}

// ReplicaMessage carries a message of the replicated log.
type ReplicaMessage struct{ payload []byte }

// ConfigurationPush carries an accepted configuration.
type ConfigurationPush struct {
	version  uint64
	document []byte
}

// ForwardedCommand carries a command to the leader.
type ForwardedCommand struct {
	number  uint64
	payload []byte
}

// Reply carries the outcome of a forwarded command, empty where the receiver
// could not take it.
type Reply struct {
	number  uint64
	payload []byte
}

// TargetUpdate is one piece of news about a target.
type TargetUpdate struct {
	target  string
	startID string
	state   string
	age     time.Duration
	rate    float64
}

// TargetUpdates carries what changed about targets.
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

// NewHeartbeat returns a beat of a process at a version.
func NewHeartbeat(startID, dataCentre string, version uint64, leaving bool) Heartbeat {
	return Heartbeat{startID: startID, dataCentre: dataCentre, version: version, leaving: leaving}
}

// WithReplica returns the beat with what the control role says.
func (b Heartbeat) WithReplica(replicaID string, bootstrapped bool, leader string) Heartbeat {
	b.control = true
	b.replicaID = replicaID
	b.bootstrapped = bootstrapped
	b.leader = leader
	return b
}

// WithQuorum returns the beat with the last confirmation of a quorum.
func (b Heartbeat) WithQuorum(age time.Duration, version uint64) Heartbeat {
	b.quorumAge = age
	b.quorumVersion = version
	return b
}

// WithLastReceivedAge returns the beat with the time since the receiver was last heard.
func (b Heartbeat) WithLastReceivedAge(age time.Duration) Heartbeat {
	b.lastReceivedAge = age
	return b
}

// StartID returns the id of the sender's present life.
func (b Heartbeat) StartID() string { return b.startID }

// DataCentre returns the data centre of the sender.
func (b Heartbeat) DataCentre() string { return b.dataCentre }

// Version returns the version in force at the sender.
func (b Heartbeat) Version() uint64 { return b.version }

// Leaving reports whether the sender is about to stop.
func (b Heartbeat) Leaving() bool { return b.leaving }

// Replica returns the sender's replica id and whether it has a log; the last
// result is false where the sender has no control role.
func (b Heartbeat) Replica() (replicaID string, bootstrapped, control bool) {
	return b.replicaID, b.bootstrapped, b.control
}

// Leader returns the leader that the sender knows, empty for none.
func (b Heartbeat) Leader() string { return b.leader }

// Quorum returns how long ago a quorum was confirmed, and at which version.
func (b Heartbeat) Quorum() (age time.Duration, version uint64) {
	return b.quorumAge, b.quorumVersion
}

// LastReceivedAge returns how long ago the sender last heard the receiver.
func (b Heartbeat) LastReceivedAge() time.Duration { return b.lastReceivedAge }

// NewReplicaMessage returns a message of the replicated log.
func NewReplicaMessage(payload []byte) ReplicaMessage { return ReplicaMessage{payload: payload} }

// Payload returns the encoded message of the log.
func (r ReplicaMessage) Payload() []byte { return r.payload }

// NewConfigurationPush returns an accepted configuration.
func NewConfigurationPush(version uint64, document []byte) ConfigurationPush {
	return ConfigurationPush{version: version, document: document}
}

// Version returns the number of the configuration.
func (p ConfigurationPush) Version() uint64 { return p.version }

// Document returns the text of the configuration.
func (p ConfigurationPush) Document() []byte { return p.document }

// NewForwardedCommand returns a command for the leader.
func NewForwardedCommand(number uint64, payload []byte) ForwardedCommand {
	return ForwardedCommand{number: number, payload: payload}
}

// Number returns the number that the reply repeats.
func (f ForwardedCommand) Number() uint64 { return f.number }

// Payload returns the encoded command.
func (f ForwardedCommand) Payload() []byte { return f.payload }

// NewReply returns the outcome of a forwarded command.
func NewReply(number uint64, payload []byte) Reply {
	return Reply{number: number, payload: payload}
}

// Number returns the number of the forwarded command.
func (r Reply) Number() uint64 { return r.number }

// Payload returns the encoded outcome, empty where there is none.
func (r Reply) Payload() []byte { return r.payload }

// NewTargetUpdate returns a piece of news about a target's life. The rate is what one
// VM may send to a warming target, in sub-requests a second.
func NewTargetUpdate(target, startID, state string, age time.Duration, rate float64) TargetUpdate {
	return TargetUpdate{target: target, startID: startID, state: state, age: age, rate: rate}
}

// Target returns the name of the leaf.
func (i TargetUpdate) Target() string { return i.target }

// StartID returns the life of the leaf that the news is about.
func (i TargetUpdate) StartID() string { return i.startID }

// State returns the state that the sender saw.
func (i TargetUpdate) State() string { return i.state }

// Age returns how old the news was when it was sent.
func (i TargetUpdate) Age() time.Duration { return i.age }

// Rate returns what one VM may send to a warming target, in sub-requests
// a second.
func (i TargetUpdate) Rate() float64 { return i.rate }

// NewTargetUpdates returns news about targets.
func NewTargetUpdates(updates []TargetUpdate) TargetUpdates { return TargetUpdates{updates: updates} }

// Updates returns the pieces of news.
func (n TargetUpdates) Updates() []TargetUpdate { return n.updates }
