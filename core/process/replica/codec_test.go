package replica

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/request/claim"
	"github.com/mulberrydale/mulberrydale/core/result"
)

func sampleEnvelopes() []Envelope {
	from := Member{id: "a", vm: "vm-1"}
	to := Member{id: "b", vm: "vm-2"}
	voters := NewVoters([]Member{to, from})
	at := bootclock.Time(5*time.Second + 6)
	entries := []Entry{{index: 3, term: 2, kind: CommandEntry, payload: []byte{1}}, {index: 4, term: 2, kind: VoterChange, voters: voters}}
	return []Envelope{
		NewEnvelope(from, to, VoteRequest{term: 1, preVote: true, lastLogIndex: 2, lastLogTerm: 1}),
		NewEnvelope(from, to, VoteReply{term: 1, granted: true}),
		NewEnvelope(from, to, AppendEntries{term: 2, prevLogIndex: 2, prevLogTerm: 1, entries: entries, commitIndex: 2, sentAt: at, quorumAge: time.Second}),
		NewEnvelope(from, to, AppendReply{term: 2, matched: true, index: 4, sentAt: at}),
		NewEnvelope(from, to, InstallSnapshot{term: 2, snapshot: Snapshot{index: 9, term: 2, voters: voters, state: []byte{1}}, sentAt: at}),
		NewEnvelope(from, to, NewJoin(from)),
	}
}

func sampleCommands() []Command {
	metadata := NewChangeMetadata("c-1", 2, "author", "reason", time.Unix(1, 0))
	return []Command{
		NewReplaceConfiguration(metadata, []byte("{}")),
		NewSetDataCentre(metadata, "dc-1", true),
		WithAppendTime(NewClaim("id", "holder", time.Minute), time.Unix(1, 0)),
		NewSettle("id", "holder", result.Complete, []byte("[]")),
	}
}

func TestEnvelopeRoundTrip(t *testing.T) {
	for _, e := range sampleEnvelopes() {
		payload := EncodeEnvelope(e)
		decoded, err := DecodeEnvelope(payload)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(EncodeEnvelope(decoded), payload))
		for n := range payload {
			_, err := DecodeEnvelope(payload[:n])
			assert.Assert(t, err != nil)
		}
	}
}

func TestCommandAndOutcomeRoundTrip(t *testing.T) {
	for _, c := range sampleCommands() {
		decoded, err := DecodeCommand(EncodeCommand(c))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(EncodeCommand(decoded), EncodeCommand(c)))
	}
	for _, o := range []Outcome{
		ChangeOutcome{code: result.ChangeAccepted, version: 3, message: "m"},
		ClaimOutcome{answer: claim.Granted{}}, ClaimOutcome{answer: claim.InDoubt{}}, ClaimOutcome{answer: claim.Full{}},
		ClaimOutcome{answer: claim.NewSettled(result.Complete, []byte("[]"))}, ClaimOutcome{},
	} {
		decoded, err := DecodeOutcome(EncodeOutcome(o))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(EncodeOutcome(decoded), EncodeOutcome(o)))
	}
}

func TestStateRoundTripKeepsOutcomesAndClaims(t *testing.T) {
	s := NewState()
	metadata := NewChangeMetadata("c-1", 0, "author", "reason", time.Unix(1, 0))
	first := s.Apply(NewReplaceConfiguration(metadata, testDocument(1)))
	s.Apply(WithAppendTime(NewClaim("id-1", "holder", time.Hour), time.Unix(1, 0)))
	s.Apply(NewSettle("id-1", "holder", result.Complete, []byte("[]")))
	decoded, err := DecodeState(s.Encode())
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(decoded.Encode(), s.Encode()))
	repeated, ok := decoded.Apply(NewReplaceConfiguration(metadata, testDocument(1))).(ChangeOutcome)
	assert.Assert(t, ok)
	assert.Equal(t, repeated.Code(), result.ChangeRepeated)
	assert.Equal(t, repeated.Version(), first.(ChangeOutcome).Version())
	claimed, ok := decoded.Apply(WithAppendTime(NewClaim("id-1", "other", time.Hour), time.Unix(2, 0))).(ClaimOutcome)
	assert.Assert(t, ok)
	_, settled := claimed.Answer().(claim.Settled)
	assert.Assert(t, settled)
	assert.Equal(t, len(decoded.Trail().Records()), 1)
}

// Of two changes based on the same version, only the first is accepted. A change
// based on the new version is accepted again. An id that is reused for other
// content is refused even if the base version is current. The audit trail returns
// the one accepted change after version 1.
func TestStaleBaseVersionIsRejected(t *testing.T) {
	s := NewState()
	at := time.Unix(1, 0)
	codes := []result.Code{}
	for i, id := range []string{"first", "second", "third"} {
		base := uint64(0)
		if i == 2 {
			base = 1
		}
		o := s.Apply(NewReplaceConfiguration(NewChangeMetadata(id, base, "a", "r", at), testDocument(i))).(ChangeOutcome)
		codes = append(codes, o.Code())
	}
	assert.DeepEqual(t, codes, []result.Code{result.ChangeAccepted, result.VersionConflict, result.ChangeAccepted})
	reused := s.Apply(NewReplaceConfiguration(NewChangeMetadata("first", 2, "a", "r", at), testDocument(9))).(ChangeOutcome)
	assert.Equal(t, reused.Code(), result.ChangeIDReused)
	assert.Equal(t, len(audit.AcceptedAfter(s.Trail().Records(), 1)), 1)
}

func FuzzDecodeEnvelope(f *testing.F) {
	for _, e := range sampleEnvelopes() {
		f.Add(EncodeEnvelope(e))
	}
	f.Fuzz(func(_ *testing.T, payload []byte) { _, _ = DecodeEnvelope(payload) })
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add(EncodeRecord(TruncateRecord{fromIndex: 3}))
	f.Fuzz(func(_ *testing.T, payload []byte) { _, _ = DecodeRecord(payload) })
}

func FuzzDecodeState(f *testing.F) {
	s := NewState()
	s.Apply(NewReplaceConfiguration(NewChangeMetadata("c", 0, "a", "r", time.Unix(1, 0)), testDocument(1)))
	f.Add(s.Encode())
	f.Fuzz(func(_ *testing.T, payload []byte) { _, _ = DecodeState(payload) })
}
