package replica

import (
	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/request/claim"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// Kinds of commands and outcomes on the wire.
const (
	wireReplace = iota + 1
	wireSetDataCentre
	wireClaim
	wireSettle
	wireChangeOutcome
	wireClaimGranted
	wireClaimOpen
	wireClaimSettled
	wireClaimFull
	wireNoAnswer
	wirePublish
	wireWithdraw
	wireRoutesOutcome
)

// EncodeCommand writes a command for the log.
func EncodeCommand(c Command) []byte {
	enc := frame.NewEncoder()
	switch c := c.(type) {
	case Replace:
		enc.Uint(wireReplace)
		encodeStamp(enc, c.stamp)
		enc.Bytes(c.document)
	case SetDataCentre:
		enc.Uint(wireSetDataCentre)
		encodeStamp(enc, c.stamp)
		enc.String(c.centre)
		enc.Bool(c.inService)
	case Claim:
		enc.Uint(wireClaim)
		enc.String(c.id)
		enc.String(c.holder)
		enc.Duration(c.keep)
		enc.Time(c.at)
	case Settle:
		enc.Uint(wireSettle)
		enc.String(c.id)
		enc.String(c.holder)
		enc.Int(int64(c.code))
		enc.Bytes(c.body)
	case Publish:
		enc.Uint(wirePublish)
		enc.Uint(c.version)
		enc.Bytes(c.document)
		enc.Time(c.at)
	case Withdraw:
		enc.Uint(wireWithdraw)
		enc.String(c.centre)
		enc.Bool(c.out)
		enc.Time(c.at)
	}
	return enc.Payload()
}

// DecodeCommand reads a command of the log.
func DecodeCommand(payload []byte) (Command, error) {
	dec := frame.NewDecoder(payload)
	var out Command
	switch dec.Uint() {
	case wireReplace:
		out = Replace{stamp: decodeStamp(dec), document: dec.Bytes()}
	case wireSetDataCentre:
		out = SetDataCentre{stamp: decodeStamp(dec), centre: dec.String(), inService: dec.Bool()}
	case wireClaim:
		out = Claim{id: dec.String(), holder: dec.String(), keep: dec.Duration(), at: dec.Time()}
	case wireSettle:
		out = Settle{id: dec.String(), holder: dec.String(), code: result.Code(dec.Int()), body: dec.Bytes()}
	case wirePublish:
		out = Publish{version: dec.Uint(), document: dec.Bytes(), at: dec.Time()}
	case wireWithdraw:
		out = Withdraw{centre: dec.String(), out: dec.Bool(), at: dec.Time()}
	default:
		dec.Fail("an unknown kind of command")
	}
	return out, dec.Err()
}

func encodeStamp(enc *frame.Encoder, s Stamp) {
	enc.String(s.changeID)
	enc.Uint(s.base)
	enc.String(s.author)
	enc.String(s.reason)
	enc.Time(s.at)
}

func decodeStamp(dec *frame.Decoder) Stamp {
	return Stamp{changeID: dec.String(), base: dec.Uint(), author: dec.String(), reason: dec.String(), at: dec.Time()}
}

// EncodeOutcome writes an outcome for the process that sent the command.
func EncodeOutcome(o Outcome) []byte {
	enc := frame.NewEncoder()
	switch o := o.(type) {
	case ChangeOutcome:
		enc.Uint(wireChangeOutcome)
		encodeChangeOutcome(enc, o)
	case ClaimOutcome:
		switch a := o.answer.(type) {
		case claim.Granted:
			enc.Uint(wireClaimGranted)
		case claim.InDoubt:
			enc.Uint(wireClaimOpen)
		case claim.Full:
			enc.Uint(wireClaimFull)
		case claim.Settled:
			enc.Uint(wireClaimSettled)
			enc.Int(int64(a.Code()))
			enc.Bytes(a.Body())
		default:
			enc.Uint(wireNoAnswer)
		}
	case RoutesOutcome:
		enc.Uint(wireRoutesOutcome)
		enc.Uint(o.revision)
		enc.Uint(o.version)
	}
	return enc.Payload()
}

// DecodeOutcome reads an outcome.
func DecodeOutcome(payload []byte) (Outcome, error) {
	dec := frame.NewDecoder(payload)
	var out Outcome
	switch dec.Uint() {
	case wireChangeOutcome:
		out = decodeChangeOutcome(dec)
	case wireClaimGranted:
		out = ClaimOutcome{answer: claim.Granted{}}
	case wireClaimOpen:
		out = ClaimOutcome{answer: claim.InDoubt{}}
	case wireClaimFull:
		out = ClaimOutcome{answer: claim.Full{}}
	case wireClaimSettled:
		out = ClaimOutcome{answer: claim.NewSettled(result.Code(dec.Int()), dec.Bytes())}
	case wireNoAnswer:
		out = ClaimOutcome{}
	case wireRoutesOutcome:
		out = RoutesOutcome{revision: dec.Uint(), version: dec.Uint()}
	default:
		dec.Fail("an unknown kind of outcome")
	}
	return out, dec.Err()
}

func encodeChangeOutcome(enc *frame.Encoder, o ChangeOutcome) {
	enc.Int(int64(o.code))
	enc.Uint(o.version)
	enc.String(o.message)
}

func decodeChangeOutcome(dec *frame.Decoder) ChangeOutcome {
	return ChangeOutcome{code: result.Code(dec.Int()), version: dec.Uint(), message: dec.String()}
}

// Encode writes the whole state, for a snapshot.
func (s *State) Encode() []byte {
	enc := frame.NewEncoder()
	enc.Uint(s.version)
	enc.Bytes(s.document)
	enc.Uint(uint64(len(s.order)))
	for _, id := range s.order {
		first := s.changes[id]
		enc.String(id)
		enc.Uint(first.digest)
		encodeChangeOutcome(enc, first.outcome)
	}
	records := s.claims.Records()
	enc.Uint(uint64(len(records)))
	for _, r := range records {
		encodeClaimRecord(enc, r)
	}
	trail := s.trail.Records()
	enc.Uint(uint64(len(trail)))
	for _, r := range trail {
		EncodeAudit(enc, r)
	}
	EncodeRoutes(enc, s.routes)
	return enc.Payload()
}

// DecodeState reads a state; an empty payload is the state before the first
// command.
func DecodeState(payload []byte) (*State, error) {
	s := NewState()
	if len(payload) == 0 {
		return s, nil
	}
	dec := frame.NewDecoder(payload)
	s.version = dec.Uint()
	s.document = dec.Bytes()
	for range dec.Len() {
		id := dec.String()
		s.changes[id] = firstOutcome{digest: dec.Uint(), outcome: decodeChangeOutcome(dec)}
		s.order = append(s.order, id)
	}
	for range dec.Len() {
		s.claims.Append(decodeClaimRecord(dec))
	}
	for range dec.Len() {
		s.trail.Add(DecodeAudit(dec))
	}
	s.routes = DecodeRoutes(dec)
	if err := dec.Err(); err != nil {
		return nil, err
	}
	if s.version == 0 {
		return s, nil
	}
	cfg, err := configuration.Decode(s.document)
	s.cfg = cfg
	return s, err
}

func encodeClaimRecord(enc *frame.Encoder, r claim.Record) {
	code, body, known := r.Settled()
	enc.String(r.ID())
	enc.String(r.Holder())
	enc.Time(r.Expires())
	enc.Bool(known)
	enc.Int(int64(code))
	enc.Bytes(body)
}

func decodeClaimRecord(dec *frame.Decoder) claim.Record {
	return claim.NewRecord(dec.String(), dec.String(), dec.Time(), dec.Bool(), result.Code(dec.Int()), dec.Bytes())
}

// EncodeAudit writes a record of the audit trail.
func EncodeAudit(enc *frame.Encoder, r audit.Record) {
	enc.Time(r.At())
	enc.String(r.ChangeID())
	enc.String(r.Author())
	enc.String(r.Reason())
	enc.Uint(r.Base())
	enc.Uint(r.Version())
	enc.Int(int64(r.Code()))
	enc.Strings(r.Changes())
}

// DecodeAudit reads a record of the audit trail.
func DecodeAudit(dec *frame.Decoder) audit.Record {
	return audit.NewRecord(dec.Time(), dec.String(), dec.String(), dec.String(), dec.Uint(), dec.Uint(), result.Code(dec.Int()), dec.Strings())
}

// EncodeRoutes writes accepted routes.
func EncodeRoutes(enc *frame.Encoder, r Routes) {
	enc.Uint(r.revision)
	enc.Uint(r.version)
	enc.Bytes(r.document)
	enc.Strings(r.out)
}

// DecodeRoutes reads accepted routes.
func DecodeRoutes(dec *frame.Decoder) Routes {
	return Routes{revision: dec.Uint(), version: dec.Uint(), document: dec.Bytes(), out: dec.Strings()}
}
