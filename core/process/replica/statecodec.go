package replica

import (
	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/request/claim"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// Types of commands and outcomes on the wire. Commands are also stored in the
// journal as log entries. Other processes depend on the values.
const (
	wireReplaceConfiguration = iota + 1
	wireSetDataCentre
	wireClaim
	wireSettle
	wireChangeOutcome
	wireClaimGranted
	wireClaimInDoubt
	wireClaimSettled
	wireClaimFull
	wireClaimNoAnswer
	wirePublishRoutes
	wireSetOutOfService
	wireRoutesOutcome
	wireRecordVersions
	wireStartRollout
	wireEndRollout
	wireStateElapsed
	wireRolloutOutcome
	wireOrder
	wireOrderRejected
)

// EncodeCommand encodes a command for the log.
func EncodeCommand(c Command) []byte {
	enc := frame.NewEncoder()
	switch c := c.(type) {
	case ReplaceConfiguration:
		enc.Uint(wireReplaceConfiguration)
		encodeChangeMetadata(enc, c.metadata)
		enc.Bytes(c.document)
	case SetDataCentre:
		enc.Uint(wireSetDataCentre)
		encodeChangeMetadata(enc, c.metadata)
		enc.String(c.dataCentre)
		enc.Bool(c.inService)
	case Claim:
		enc.Uint(wireClaim)
		enc.String(c.id)
		enc.String(c.holder)
		enc.Duration(c.retention)
		enc.Time(c.appendedAt)
	case Settle:
		enc.Uint(wireSettle)
		enc.String(c.id)
		enc.String(c.holder)
		enc.Int(int64(c.code))
		enc.Bytes(c.body)
	case PublishRoutes:
		enc.Uint(wirePublishRoutes)
		enc.Uint(c.version)
		enc.Bytes(c.document)
		enc.Time(c.appendedAt)
	case SetOutOfService:
		enc.Uint(wireSetOutOfService)
		enc.String(c.dataCentre)
		enc.Bool(c.outOfService)
		enc.Time(c.appendedAt)
	case RecordVersions, StartRollout, EndRollout, StateElapsed:
		encodeRolloutCommand(enc, c)
	case Order:
		encodeOrder(enc, c)
	}
	return enc.Payload()
}

// DecodeCommand decodes a command of the log. It fails with
// result.FrameMalformed on truncated or invalid input.
func DecodeCommand(payload []byte) (Command, error) {
	dec := frame.NewDecoder(payload)
	var command Command
	switch dec.Uint() {
	case wireReplaceConfiguration:
		command = ReplaceConfiguration{metadata: decodeChangeMetadata(dec), document: dec.Bytes()}
	case wireSetDataCentre:
		command = SetDataCentre{metadata: decodeChangeMetadata(dec), dataCentre: dec.String(), inService: dec.Bool()}
	case wireClaim:
		command = Claim{id: dec.String(), holder: dec.String(), retention: dec.Duration(), appendedAt: dec.Time()}
	case wireSettle:
		command = Settle{id: dec.String(), holder: dec.String(), code: result.Code(dec.Int()), body: dec.Bytes()}
	case wirePublishRoutes:
		command = PublishRoutes{version: dec.Uint(), document: dec.Bytes(), appendedAt: dec.Time()}
	case wireSetOutOfService:
		command = SetOutOfService{dataCentre: dec.String(), outOfService: dec.Bool(), appendedAt: dec.Time()}
	case wireRecordVersions:
		command = decodeRecordVersions(dec)
	case wireStartRollout:
		command = decodeStartRollout(dec)
	case wireEndRollout:
		command = decodeEndRollout(dec)
	case wireStateElapsed:
		command = decodeStateElapsed(dec)
	case wireOrder:
		command = decodeOrder(dec)
	default:
		dec.Fail("unknown command type")
	}
	return command, dec.Err()
}

func encodeChangeMetadata(enc *frame.Encoder, m ChangeMetadata) {
	enc.String(m.changeID)
	enc.Uint(m.baseVersion)
	enc.String(m.author)
	enc.String(m.reason)
	enc.Time(m.appendedAt)
}

func decodeChangeMetadata(dec *frame.Decoder) ChangeMetadata {
	return ChangeMetadata{changeID: dec.String(), baseVersion: dec.Uint(), author: dec.String(), reason: dec.String(), appendedAt: dec.Time()}
}

// EncodeOutcome encodes an outcome for the process that sent the command.
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
			enc.Uint(wireClaimInDoubt)
		case claim.Full:
			enc.Uint(wireClaimFull)
		case claim.Settled:
			enc.Uint(wireClaimSettled)
			enc.Int(int64(a.Code()))
			enc.Bytes(a.Body())
		default:
			enc.Uint(wireClaimNoAnswer)
		}
	case RoutesOutcome:
		enc.Uint(wireRoutesOutcome)
		enc.Uint(o.revision)
		enc.Uint(o.version)
	case RolloutOutcome:
		enc.Uint(wireRolloutOutcome)
		enc.Int(int64(o.code))
		enc.Uint(o.revision)
	case OrderRejected:
		enc.Uint(wireOrderRejected)
		encodePosition(enc, o.base)
	}
	return enc.Payload()
}

// DecodeOutcome decodes an outcome. It fails with result.FrameMalformed on
// truncated or invalid input.
func DecodeOutcome(payload []byte) (Outcome, error) {
	dec := frame.NewDecoder(payload)
	var outcome Outcome
	switch dec.Uint() {
	case wireChangeOutcome:
		outcome = decodeChangeOutcome(dec)
	case wireClaimGranted:
		outcome = ClaimOutcome{answer: claim.Granted{}}
	case wireClaimInDoubt:
		outcome = ClaimOutcome{answer: claim.InDoubt{}}
	case wireClaimFull:
		outcome = ClaimOutcome{answer: claim.Full{}}
	case wireClaimSettled:
		outcome = ClaimOutcome{answer: claim.NewSettled(result.Code(dec.Int()), dec.Bytes())}
	case wireClaimNoAnswer:
		outcome = ClaimOutcome{}
	case wireRoutesOutcome:
		outcome = RoutesOutcome{revision: dec.Uint(), version: dec.Uint()}
	case wireRolloutOutcome:
		outcome = decodeRolloutOutcome(dec)
	case wireOrderRejected:
		outcome = OrderRejected{base: decodePosition(dec)}
	default:
		dec.Fail("unknown outcome type")
	}
	return outcome, dec.Err()
}

func encodeChangeOutcome(enc *frame.Encoder, o ChangeOutcome) {
	enc.Int(int64(o.code))
	enc.Uint(o.version)
	enc.String(o.message)
}

func decodeChangeOutcome(dec *frame.Decoder) ChangeOutcome {
	return ChangeOutcome{code: result.Code(dec.Int()), version: dec.Uint(), message: dec.String()}
}

// Encode encodes the whole state for a snapshot.
func (s *State) Encode() []byte {
	enc := frame.NewEncoder()
	enc.Uint(s.version)
	enc.Bytes(s.document)
	enc.Uint(uint64(len(s.changeOrder)))
	for _, id := range s.changeOrder {
		recorded := s.outcomes[id]
		enc.String(id)
		enc.Uint(recorded.digest)
		encodeChangeOutcome(enc, recorded.outcome)
	}
	claimRecords := s.claims.Records()
	enc.Uint(uint64(len(claimRecords)))
	for _, r := range claimRecords {
		encodeClaimRecord(enc, r)
	}
	auditRecords := s.auditTrail.Records()
	enc.Uint(uint64(len(auditRecords)))
	for _, r := range auditRecords {
		EncodeAuditRecord(enc, r)
	}
	EncodeRoutes(enc, s.routes)
	return enc.Payload()
}

// DecodeState decodes a state. An empty payload gives the state before the first
// command. It fails with result.FrameMalformed on truncated or invalid input, or
// with the error of configuration.Decode.
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
		s.outcomes[id] = recordedOutcome{digest: dec.Uint(), outcome: decodeChangeOutcome(dec)}
		s.changeOrder = append(s.changeOrder, id)
	}
	for range dec.Len() {
		s.claims.Append(decodeClaimRecord(dec))
	}
	for range dec.Len() {
		s.auditTrail.Add(DecodeAuditRecord(dec))
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

// EncodeAuditRecord encodes a record of the audit trail.
func EncodeAuditRecord(enc *frame.Encoder, r audit.Record) {
	enc.Time(r.At())
	enc.String(r.ChangeID())
	enc.String(r.Author())
	enc.String(r.Reason())
	enc.Uint(r.Base())
	enc.Uint(r.Version())
	enc.Int(int64(r.Code()))
	enc.Strings(r.Changes())
}

// DecodeAuditRecord decodes a record of the audit trail. On invalid input dec.Err
// returns the error.
func DecodeAuditRecord(dec *frame.Decoder) audit.Record {
	return audit.NewRecord(dec.Time(), dec.String(), dec.String(), dec.String(), dec.Uint(), dec.Uint(), result.Code(dec.Int()), dec.Strings())
}

// EncodeRoutes encodes accepted routes.
func EncodeRoutes(enc *frame.Encoder, r Routes) {
	enc.Uint(r.revision)
	enc.Uint(r.version)
	enc.Bytes(r.document)
	enc.Strings(r.outOfService)
	encodeRollouts(enc, r.rollouts)
}

// DecodeRoutes decodes accepted routes, which must be the last value. On invalid input
// dec.Err returns the error.
func DecodeRoutes(dec *frame.Decoder) Routes {
	return Routes{revision: dec.Uint(), version: dec.Uint(), document: dec.Bytes(), outOfService: dec.Strings(), rollouts: decodeRollouts(dec)}
}
