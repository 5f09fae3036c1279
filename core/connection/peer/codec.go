package peer

import (
	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

// Kinds of messages on the wire.
const (
	wireHello = iota + 1
	wireBeat
	wireReplicate
	wirePush
	wireForward
	wireReply
	wireNews
	wirePresence
	wirePublished
	wireRead
	wireTargetList
)

// Encode writes a message as the payload of a frame.
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
		enc.Uint(wireBeat)
		encodeBeat(enc, m)
	case ReplicaMessage:
		enc.Uint(wireReplicate)
		enc.Bytes(m.payload)
	case ConfigurationPush:
		enc.Uint(wirePush)
		enc.Uint(m.version)
		enc.Bytes(m.document)
	case ForwardedCommand:
		enc.Uint(wireForward)
		enc.Uint(m.number)
		enc.Bytes(m.payload)
	case Reply:
		enc.Uint(wireReply)
		enc.Uint(m.number)
		enc.Bytes(m.payload)
	case TargetUpdates:
		enc.Uint(wireNews)
		encodeNews(enc, m)
	case Presence:
		enc.Uint(wirePresence)
		encodePresence(enc, m)
	case PublishedRoutes:
		enc.Uint(wirePublished)
		replica.EncodeRoutes(enc, m.routes)
	case ReadRoutes:
		enc.Uint(wireRead)
		enc.Uint(m.number)
	case TargetList:
		enc.Uint(wireTargetList)
		encodeTargetList(enc, m)
	}
	return enc.Payload()
}

// Decode reads the payload of a frame.
func Decode(payload []byte) (Message, error) {
	dec := frame.NewDecoder(payload)
	var out Message
	switch dec.Uint() {
	case wireHello:
		out = Hello{cluster: dec.String(), vm: dec.String(), dataCentre: dec.String(), startID: dec.String()}
	case wireBeat:
		out = decodeBeat(dec)
	case wireReplicate:
		out = ReplicaMessage{payload: dec.Bytes()}
	case wirePush:
		out = ConfigurationPush{version: dec.Uint(), document: dec.Bytes()}
	case wireForward:
		out = ForwardedCommand{number: dec.Uint(), payload: dec.Bytes()}
	case wireReply:
		out = Reply{number: dec.Uint(), payload: dec.Bytes()}
	case wireNews:
		out = decodeNews(dec)
	case wirePresence:
		out = decodePresence(dec)
	case wirePublished:
		out = PublishedRoutes{routes: replica.DecodeRoutes(dec)}
	case wireRead:
		out = ReadRoutes{number: dec.Uint()}
	case wireTargetList:
		out = decodeTargetList(dec)
	default:
		dec.Fail("an unknown kind of message")
	}
	return out, dec.Err()
}

func encodeBeat(enc *frame.Encoder, b Heartbeat) {
	enc.String(b.startID)
	enc.String(b.dataCentre)
	enc.Uint(b.version)
	enc.Bool(b.leaving)
	enc.Bool(b.control)
	enc.String(b.replicaID)
	enc.Bool(b.founded)
	enc.String(b.leader)
	enc.Duration(b.quorumAge)
	enc.Uint(b.quorumVersion)
	enc.Duration(b.heardAge)
}

func decodeBeat(dec *frame.Decoder) Heartbeat {
	return Heartbeat{
		startID:       dec.String(),
		dataCentre:    dec.String(),
		version:       dec.Uint(),
		leaving:       dec.Bool(),
		control:       dec.Bool(),
		replicaID:     dec.String(),
		founded:       dec.Bool(),
		leader:        dec.String(),
		quorumAge:     dec.Duration(),
		quorumVersion: dec.Uint(),
		heardAge:      dec.Duration(),
	}
}

func encodeNews(enc *frame.Encoder, n TargetUpdates) {
	enc.Uint(uint64(len(n.items)))
	for _, i := range n.items {
		enc.String(i.target)
		enc.String(i.startID)
		enc.String(i.state)
		enc.Duration(i.age)
		enc.Float(i.rate)
	}
}

func decodeNews(dec *frame.Decoder) TargetUpdates {
	var items []TargetUpdate
	for range dec.Len() {
		items = append(items, TargetUpdate{target: dec.String(), startID: dec.String(), state: dec.String(), age: dec.Duration(), rate: dec.Float()})
	}
	return TargetUpdates{items: items}
}
