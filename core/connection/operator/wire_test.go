package operator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/operator"
	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/result"
)

func TestChangeRoundTrip(t *testing.T) {
	for _, c := range []operator.Change{
		operator.NewDocumentChange("id", 3, "author", "why \"so\"", "{\n}"),
		operator.NewDataCentreChange("id", 3, "author", "", "oulu-1", false),
	} {
		text, err := operator.EncodeChange(c)
		assert.NilError(t, err)
		decoded, err := operator.DecodeChange(text)
		assert.NilError(t, err)
		assert.Equal(t, decoded, c)
	}
	_, err := operator.DecodeChange([]byte(`{"change-id": "x", "base-version": 0}`))
	assert.Equal(t, result.CodeOf(err), result.MissingKey)
}

func TestStatusAndAuditRoundTrip(t *testing.T) {
	peers := []operator.Peer{operator.NewPeer("entry-2", "oulu-2", 4, true, false), operator.NewPeer("entry-3", "", 0, false, false)}
	s := operator.NewStatus("entry-1", "oulu-1", 5, "fresh", time.Second, "entry-2", peers, map[string]int{"warm": 3})
	text, err := operator.EncodeStatus(s)
	assert.NilError(t, err)
	decoded, err := operator.DecodeStatus(text)
	assert.NilError(t, err)
	assert.Equal(t, decoded.Targets()["warm"], 3)
	assert.DeepEqual(t, decoded.Unconfirmed(5), []string{"entry-2", "entry-3"})

	records := []audit.Record{audit.NewRecord(time.Unix(1, 0), "id", "author", "why", 1, 2, result.ChangeAccepted, []string{"+ x"})}
	text, err = operator.EncodeAudit(records)
	assert.NilError(t, err)
	trail, err := operator.DecodeAudit(text)
	assert.NilError(t, err)
	assert.Equal(t, trail[0].Version(), uint64(2))
	assert.DeepEqual(t, trail[0].Changes(), []string{"+ x"})
}

func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(`{"change-id": "x", "base-version": 0, "document": ""}`))
	f.Fuzz(func(_ *testing.T, text []byte) { _, _ = operator.DecodeChange(text) })
}
