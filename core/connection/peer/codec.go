package peer

import "github.com/mulberrydale/mulberrydale/core/connection/frame"

// Message kinds on the wire; each value is the first field of its message.
const (
	wireHello = iota + 1
	wireHeartbeat
	wireReplicaMessage
	wireConfigurationPush
	wireForwardedCommand
	wireReply
	wireTargetUpdates
	wirePresence
	wirePublishedRoutes
	wireReadRoutes
	wireTargetList
	wireLateResponses
	wireUnchanged
	wireConfirmRevision
	wireRevisionConfirmed
	wireRolloutReports
	wireRolloutGrants
	wireTokenRequest
	wireTokenGrant
	// wireTargetSlowness follows a gap of unused values.
	wireTargetSlowness = 40
)

// Encode encodes a message as the payload of a frame.
func Encode(m Message) []byte {
	enc := frame.NewEncoder()
	switch m := m.(type) {
	case Hello:
		enc.Uint(wireHello)
		enc.String(m.cluster)
		enc.String(m.vm)
		enc.String(m.dataCentre)
		enc.String(m.startID)
	case Heartbeat:
		enc.Uint(wireHeartbeat)
		encodeHeartbeat(enc, m)
	case ReplicaMessage:
		enc.Uint(wireReplicaMessage)
		enc.Bytes(m.payload)
	case ConfigurationPush:
		enc.Uint(wireConfigurationPush)
		enc.Uint(m.version)
		enc.Bytes(m.document)
	case ForwardedCommand:
		enc.Uint(wireForwardedCommand)
		enc.Uint(m.number)
		enc.Bytes(m.payload)
	case Reply:
		enc.Uint(wireReply)
		enc.Uint(m.number)
		enc.Bytes(m.payload)
	case TargetUpdates:
		enc.Uint(wireTargetUpdates)
		encodeTargetUpdates(enc, m)
	default:
		encodeSessionMessage(enc, m)
	}
	return enc.Payload()
}

// Decode decodes a message from the payload of a frame. Its errors have the
// code FrameMalformed.
func Decode(payload []byte) (Message, error) {
	dec := frame.NewDecoder(payload)
	var out Message
	switch kind := dec.Uint(); kind {
	case wireHello:
		out = Hello{cluster: dec.String(), vm: dec.String(), dataCentre: dec.String(), startID: dec.String()}
	case wireHeartbeat:
		out = decodeHeartbeat(dec)
	case wireReplicaMessage:
		out = ReplicaMessage{payload: dec.Bytes()}
	case wireConfigurationPush:
		out = ConfigurationPush{version: dec.Uint(), document: dec.Bytes()}
	case wireForwardedCommand:
		out = ForwardedCommand{number: dec.Uint(), payload: dec.Bytes()}
	case wireReply:
		out = Reply{number: dec.Uint(), payload: dec.Bytes()}
	case wireTargetUpdates:
		out = decodeTargetUpdates(dec)
	default:
		out = decodeSessionMessage(kind, dec)
	}
	return out, dec.Err()
}

func encodeHeartbeat(enc *frame.Encoder, h Heartbeat) {
	enc.String(h.startID)
	enc.String(h.dataCentre)
	enc.Uint(h.version)
	enc.Bool(h.leaving)
	enc.Bool(h.control)
	enc.String(h.replicaID)
	enc.Bool(h.bootstrapped)
	enc.String(h.leader)
	enc.Duration(h.quorumAge)
	enc.Uint(h.quorumVersion)
	enc.Duration(h.lastReceivedAge)
}

func decodeHeartbeat(dec *frame.Decoder) Heartbeat {
	return Heartbeat{
		startID:         dec.String(),
		dataCentre:      dec.String(),
		version:         dec.Uint(),
		leaving:         dec.Bool(),
		control:         dec.Bool(),
		replicaID:       dec.String(),
		bootstrapped:    dec.Bool(),
		leader:          dec.String(),
		quorumAge:       dec.Duration(),
		quorumVersion:   dec.Uint(),
		lastReceivedAge: dec.Duration(),
	}
}

func encodeTargetUpdates(enc *frame.Encoder, t TargetUpdates) {
	enc.Uint(uint64(len(t.updates)))
	for _, u := range t.updates {
		enc.String(u.target)
		enc.String(u.startID)
		enc.String(u.state)
		enc.Duration(u.age)
		enc.Float(u.rate)
	}
}

func decodeTargetUpdates(dec *frame.Decoder) TargetUpdates {
	var updates []TargetUpdate
	for range dec.Len() {
		updates = append(updates, TargetUpdate{target: dec.String(), startID: dec.String(), state: dec.String(), age: dec.Duration(), rate: dec.Float()})
	}
	return TargetUpdates{updates: updates}
}
