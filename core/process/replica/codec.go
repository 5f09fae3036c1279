package replica

import (
	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// Message types on the wire. Other processes depend on the values.
const (
	wireVoteRequest = iota + 1
	wireVoteReply
	wireAppendEntries
	wireAppendReply
	wireInstallSnapshot
	wireJoin
)

// EncodeEnvelope encodes a message with its sender and receiver.
func EncodeEnvelope(e Envelope) []byte {
	enc := frame.NewEncoder()
	encodeMember(enc, e.from)
	encodeMember(enc, e.to)
	switch m := e.message.(type) {
	case VoteRequest:
		enc.Uint(wireVoteRequest)
		enc.Uint(m.term)
		enc.Bool(m.preVote)
		enc.Uint(m.lastLogIndex)
		enc.Uint(m.lastLogTerm)
	case VoteReply:
		enc.Uint(wireVoteReply)
		enc.Uint(m.term)
		enc.Bool(m.preVote)
		enc.Bool(m.granted)
	case AppendEntries:
		enc.Uint(wireAppendEntries)
		encodeAppendEntries(enc, m)
	case AppendReply:
		enc.Uint(wireAppendReply)
		enc.Uint(m.term)
		enc.Bool(m.matched)
		enc.Uint(m.index)
		enc.Int(int64(m.sentAt))
	case InstallSnapshot:
		enc.Uint(wireInstallSnapshot)
		enc.Uint(m.term)
		encodeSnapshot(enc, m.snapshot)
		enc.Int(int64(m.sentAt))
	case Join:
		enc.Uint(wireJoin)
		encodeMember(enc, m.member)
	}
	return enc.Payload()
}

// DecodeEnvelope decodes a message with its sender and receiver. It fails with
// result.FrameMalformed on truncated or invalid input.
func DecodeEnvelope(payload []byte) (Envelope, error) {
	dec := frame.NewDecoder(payload)
	e := Envelope{from: decodeMember(dec), to: decodeMember(dec)}
	switch kind := dec.Uint(); kind {
	case wireVoteRequest:
		e.message = VoteRequest{term: dec.Uint(), preVote: dec.Bool(), lastLogIndex: dec.Uint(), lastLogTerm: dec.Uint()}
	case wireVoteReply:
		e.message = VoteReply{term: dec.Uint(), preVote: dec.Bool(), granted: dec.Bool()}
	case wireAppendEntries:
		e.message = decodeAppendEntries(dec)
	case wireAppendReply:
		e.message = AppendReply{term: dec.Uint(), matched: dec.Bool(), index: dec.Uint(), sentAt: bootclock.Time(dec.Int())}
	case wireInstallSnapshot:
		e.message = InstallSnapshot{term: dec.Uint(), snapshot: decodeSnapshot(dec), sentAt: bootclock.Time(dec.Int())}
	case wireJoin:
		e.message = Join{member: decodeMember(dec)}
	default:
		dec.Fail("unknown message type")
	}
	return e, dec.Err()
}

func encodeMember(enc *frame.Encoder, m Member) {
	enc.String(string(m.id))
	enc.String(m.vm)
}

func decodeMember(dec *frame.Decoder) Member {
	return Member{id: ID(dec.String()), vm: dec.String()}
}

func encodeVoters(enc *frame.Encoder, v Voters) {
	enc.Uint(uint64(len(v.members)))
	for _, m := range v.members {
		encodeMember(enc, m)
	}
}

func decodeVoters(dec *frame.Decoder) Voters {
	n := dec.Len()
	var members []Member
	for range n {
		members = append(members, decodeMember(dec))
	}
	return NewVoters(members)
}

func encodeEntry(enc *frame.Encoder, e Entry) {
	enc.Uint(e.index)
	enc.Uint(e.term)
	enc.Uint(uint64(e.kind))
	enc.Bytes(e.payload)
	if e.kind == VoterChange {
		encodeVoters(enc, e.voters)
	}
}

func decodeEntry(dec *frame.Decoder) Entry {
	e := Entry{index: dec.Uint(), term: dec.Uint()}
	kind := dec.Uint()
	if kind > uint64(CommandEntry) {
		dec.Fail("unknown log entry type")
	}
	e.kind = EntryKind(kind)
	e.payload = dec.Bytes()
	if e.kind == VoterChange {
		e.voters = decodeVoters(dec)
	}
	return e
}

func encodeAppendEntries(enc *frame.Encoder, m AppendEntries) {
	enc.Uint(m.term)
	enc.Uint(m.prevLogIndex)
	enc.Uint(m.prevLogTerm)
	enc.Uint(m.commitIndex)
	enc.Int(int64(m.sentAt))
	enc.Duration(m.quorumAge)
	enc.Uint(uint64(len(m.entries)))
	for _, e := range m.entries {
		encodeEntry(enc, e)
	}
}

func decodeAppendEntries(dec *frame.Decoder) AppendEntries {
	m := AppendEntries{
		term:         dec.Uint(),
		prevLogIndex: dec.Uint(),
		prevLogTerm:  dec.Uint(),
		commitIndex:  dec.Uint(),
		sentAt:       bootclock.Time(dec.Int()),
		quorumAge:    dec.Duration(),
	}
	n := dec.Len()
	for i := range n {
		e := decodeEntry(dec)
		if e.index != m.prevLogIndex+uint64(i)+1 {
			dec.Fail("the indexes of the entries in AppendEntries are not consecutive")
		}
		m.entries = append(m.entries, e)
	}
	return m
}

func encodeSnapshot(enc *frame.Encoder, s Snapshot) {
	enc.Uint(s.index)
	enc.Uint(s.term)
	encodeVoters(enc, s.voters)
	enc.Bytes(s.state)
}

func decodeSnapshot(dec *frame.Decoder) Snapshot {
	return Snapshot{index: dec.Uint(), term: dec.Uint(), voters: decodeVoters(dec), state: dec.Bytes()}
}

// Record types in the journal. The values are stored.
const (
	recordHardState = iota + 1
	recordTruncate
	recordEntry
	recordSnapshot
)

// EncodeRecord encodes a record for the journal.
func EncodeRecord(record Record) []byte {
	enc := frame.NewEncoder()
	switch r := record.(type) {
	case HardStateRecord:
		enc.Uint(recordHardState)
		enc.Uint(r.hardState.term)
		enc.String(string(r.hardState.vote))
	case TruncateRecord:
		enc.Uint(recordTruncate)
		enc.Uint(r.fromIndex)
	case EntryRecord:
		enc.Uint(recordEntry)
		encodeEntry(enc, r.entry)
	case SnapshotRecord:
		enc.Uint(recordSnapshot)
		encodeSnapshot(enc, r.snapshot)
	}
	return enc.Payload()
}

// DecodeRecord decodes a record of the journal. It fails with
// result.JournalDamaged on truncated or invalid input.
func DecodeRecord(payload []byte) (Record, error) {
	dec := frame.NewDecoder(payload)
	var record Record
	switch dec.Uint() {
	case recordHardState:
		record = HardStateRecord{hardState: HardState{term: dec.Uint(), vote: ID(dec.String())}}
	case recordTruncate:
		record = TruncateRecord{fromIndex: dec.Uint()}
	case recordEntry:
		record = EntryRecord{entry: decodeEntry(dec)}
	case recordSnapshot:
		record = SnapshotRecord{snapshot: decodeSnapshot(dec)}
	default:
		dec.Fail("unknown journal record type")
	}
	if err := dec.Err(); err != nil {
		return nil, result.Wrap(err, result.JournalDamaged, "cannot decode a journal record")
	}
	return record, nil
}
