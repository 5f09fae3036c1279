package eventqueue_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/eventqueue"
)

// Events that change places would make a simulation with one seed differ from run to run.
func TestEventsAreTakenInOrder(t *testing.T) {
	var q eventqueue.Queue[string]
	q.Add(2, "c")
	q.Add(1, "a")
	q.Add(1, "b")
	q.Add(4, "later")
	got := ""
	for {
		event, at, ok := q.Take(3)
		if !ok {
			break
		}
		assert.Equal(t, at, map[string]time.Duration{"a": 1, "b": 1, "c": 2}[event])
		got += event
	}
	assert.Equal(t, got, "abc")
	assert.Equal(t, q.Added(), 4)
}
