package peer

import (
	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

// encodeSessionMessage encodes a message that is sent over the connections of package
// session only.
func encodeSessionMessage(enc *frame.Encoder, m Message) {
	switch m := m.(type) {
	case Presence:
		enc.Uint(wirePresence)
		encodePresence(enc, m)
	case PublishedRoutes:
		enc.Uint(wirePublishedRoutes)
		replica.EncodeRoutes(enc, m.routes)
	case ReadRoutes:
		enc.Uint(wireReadRoutes)
		enc.Uint(m.number)
	case TargetList:
		enc.Uint(wireTargetList)
		encodeTargetList(enc, m)
	case LateResponses:
		enc.Uint(wireLateResponses)
		encodeLateResponses(enc, m)
	case Unchanged:
		enc.Uint(wireUnchanged)
		encodeUnchanged(enc, m)
	case ConfirmRevision:
		enc.Uint(wireConfirmRevision)
		enc.Uint(m.number)
	case RevisionConfirmed:
		enc.Uint(wireRevisionConfirmed)
		encodeRevisionConfirmed(enc, m)
	case RolloutReports:
		enc.Uint(wireRolloutReports)
		encodeRolloutReports(enc, m)
	case RolloutGrants:
		enc.Uint(wireRolloutGrants)
		encodeRolloutGrants(enc, m)
	case TokenRequest:
		enc.Uint(wireTokenRequest)
		encodeTokenRequest(enc, m)
	case TokenGrant:
		enc.Uint(wireTokenGrant)
		encodeTokenGrant(enc, m)
	case TargetSlowness:
		enc.Uint(wireTargetSlowness)
		encodeTargetSlowness(enc, m)
	}
}

// decodeSessionMessage decodes what encodeSessionMessage has encoded after the kind of the
// message.
func decodeSessionMessage(kind uint64, dec *frame.Decoder) Message {
	switch kind {
	case wirePresence:
		return decodePresence(dec)
	case wirePublishedRoutes:
		return PublishedRoutes{routes: replica.DecodeRoutes(dec)}
	case wireReadRoutes:
		return ReadRoutes{number: dec.Uint()}
	case wireTargetList:
		return decodeTargetList(dec)
	case wireLateResponses:
		return decodeLateResponses(dec)
	case wireUnchanged:
		return decodeUnchanged(dec)
	case wireConfirmRevision:
		return ConfirmRevision{number: dec.Uint()}
	case wireRevisionConfirmed:
		return decodeRevisionConfirmed(dec)
	case wireRolloutReports:
		return decodeRolloutReports(dec)
	case wireRolloutGrants:
		return decodeRolloutGrants(dec)
	case wireTokenRequest:
		return decodeTokenRequest(dec)
	case wireTokenGrant:
		return decodeTokenGrant(dec)
	case wireTargetSlowness:
		return decodeTargetSlowness(dec)
	}
	dec.Fail("unknown message kind")
	return nil
}
