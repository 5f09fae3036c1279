package admission_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/request/admission"
)

var startTime = time.Unix(1_000_000, 0)

func TestQueueOrdersByDeadline(t *testing.T) {
	q := admission.NewQueue()
	late := q.Join(startTime.Add(3 * time.Second))
	early := q.Join(startTime.Add(time.Second))
	middle := q.Join(startTime.Add(2 * time.Second))
	sameDeadline := q.Join(startTime.Add(time.Second))
	for want, ticket := range []*admission.Ticket{early, sameDeadline, middle, late} {
		assert.Equal(t, q.Rank(ticket), want)
	}
	q.Leave(sameDeadline)
	q.Leave(sameDeadline)
	assert.Equal(t, q.Rank(late), 2)
	assert.Equal(t, q.Len(), 3)
}

func TestExpectedWait(t *testing.T) {
	tests := []struct {
		name       string
		waiting    int
		departures int
		after      time.Duration // time between the departures and the estimate
		want       time.Duration
	}{
		{"empty queue", 0, 0, 0, 0},
		{"one waiting", 1, 1, 0, 0},
		{"many waiting, many departures", 30, 120, 0, 250 * time.Millisecond},
		{"many waiting, one departure", 10, 1, 0, 10 * time.Second},
		{"many waiting, no recent departure", 10, 100, 2 * time.Second, 10 * time.Second},
	}
	for _, tt := range tests {
		q := admission.NewQueue()
		for range tt.waiting {
			q.Join(startTime)
		}
		for range tt.departures {
			q.RecordDeparture(startTime)
		}
		assert.Equal(t, q.ExpectedWait(startTime.Add(tt.after)), tt.want, tt.name)
	}
}

func ExampleAdmits() {
	response := 60 * time.Millisecond
	fmt.Println(admission.Admits(100*time.Millisecond, response, 260*time.Millisecond))
	fmt.Println(admission.Admits(200*time.Millisecond, response, 260*time.Millisecond))
	// Output:
	// true
	// false
}
