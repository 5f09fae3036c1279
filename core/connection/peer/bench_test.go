package peer_test

import (
	"testing"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
)

// BenchmarkHeartbeat measures the time to encode and decode one heartbeat, and
// its size in bytes including the four bytes of the frame's length.
func BenchmarkHeartbeat(b *testing.B) {
	heartbeat := peer.NewHeartbeat("1a2b3c4d", "oulu-1", 12345, false).WithReplica("8c0a4f0e-5a43-4c0e-9d3e-2f0f5f6f7a8b", true, "entry-1").
		WithQuorum(time.Second, 12345).WithLastReceivedAge(time.Second)
	payload := peer.Encode(heartbeat)
	for b.Loop() {
		payload = peer.Encode(heartbeat)
		if _, err := peer.Decode(payload); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(4+len(payload)), "bytes/beat")
}

// BenchmarkConfirmation measures what a control VM does for a question: it decodes the question
// and encodes the reply.
func BenchmarkConfirmation(b *testing.B) {
	question := peer.Encode(peer.NewConfirmRevision(1 << 31))
	reply := peer.Encode(peer.NewRevisionConfirmed(1<<31, 300, 120*time.Millisecond))
	for b.Loop() {
		m, err := peer.Decode(question)
		if err != nil {
			b.Fatal(err)
		}
		peer.Encode(peer.NewRevisionConfirmed(m.(peer.ConfirmRevision).Number(), 300, 120*time.Millisecond))
	}
	b.ReportMetric(float64(4+len(question)), "question-bytes")
	b.ReportMetric(float64(4+len(reply)), "reply-bytes")
}
