package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
	"github.com/mulberrydale/mulberrydale/core/request/query"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// counters holds the metrics of the entry role.
type counters struct {
	unwrittenAnswers tally.Counter
	answerDuration   tally.Histogram
	missingServices  tally.Counter
	sent             tally.Counter
	answered         tally.Counter
	refused          tally.Counter
	unusable         tally.Counter
	failed           tally.Counter
	byCode           map[result.Code]tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	c := &counters{
		unwrittenAnswers: scope.Counter("answers_unwritten"),
		answerDuration:   scope.Histogram("answer_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
		missingServices:  scope.Counter("services_missing"),
		sent:             scope.Counter("sub_requests"),
		answered:         scope.Counter("sub_requests_answered"),
		refused:          scope.Counter("sub_requests_refused"),
		unusable:         scope.Counter("sub_requests_unusable"),
		failed:           scope.Counter("sub_requests_failed"),
		byCode:           make(map[result.Code]tally.Counter),
	}
	for _, row := range result.Table() {
		c.byCode[row.Code()] = scope.Tagged(map[string]string{"result": row.Name()}).Counter("answers")
	}
	return c
}

// countOutcome counts a sub-request as sent and by its outcome. It is not
// called for a sub-request that exchange withheld.
func (c *counters) countOutcome(outcome leaf.Outcome) {
	c.sent.Inc(1)
	switch outcome.(type) {
	case leaf.Answered:
		c.answered.Inc(1)
	case leaf.Refused:
		c.refused.Inc(1)
	case leaf.Unusable:
		c.unusable.Inc(1)
	case leaf.Failed:
		c.failed.Inc(1)
	case leaf.Withheld:
	}
}

// countAnswer counts an answer to a caller by its result code, and records how
// long it took and how many services are missing from it.
func (c *counters) countAnswer(answer query.Answer, took time.Duration) {
	c.byCode[answer.Code()].Inc(1)
	c.answerDuration.RecordDuration(took)
	c.missingServices.Inc(int64(len(answer.Coverage().Missing())))
}
