package peer

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
)

// ConfirmRevision asks a control VM for the newest revision of the routes.
type ConfirmRevision struct{ number uint64 }

// RevisionConfirmed is the reply to a ConfirmRevision with the same number: no revision
// above this one was acknowledged longer than age before the reply was made.
type RevisionConfirmed struct {
	number   uint64
	revision uint64
	age      time.Duration
}

func (ConfirmRevision) message()   {}
func (RevisionConfirmed) message() {}

// NewConfirmRevision returns a question for the newest revision of the routes.
func NewConfirmRevision(number uint64) ConfirmRevision { return ConfirmRevision{number: number} }

// Number returns the number that the reply repeats.
func (c ConfirmRevision) Number() uint64 { return c.number }

// NewRevisionConfirmed returns the reply to a question. The age is sent in whole
// milliseconds, rounded up.
func NewRevisionConfirmed(number, revision uint64, age time.Duration) RevisionConfirmed {
	return RevisionConfirmed{number: number, revision: revision, age: ceilMilliseconds(age)}
}

// Number returns the number of the question.
func (r RevisionConfirmed) Number() uint64 { return r.number }

// Revision returns the highest revision that may have been acknowledged.
func (r RevisionConfirmed) Revision() uint64 { return r.revision }

// Age returns the time, before the reply was made, since which a higher revision may have
// been acknowledged.
func (r RevisionConfirmed) Age() time.Duration { return r.age }

// ceilMilliseconds rounds a duration up to whole milliseconds. A shorter age would extend
// what the receiver derives from it.
func ceilMilliseconds(d time.Duration) time.Duration {
	if rest := d % time.Millisecond; rest > 0 {
		return d - rest + time.Millisecond
	}
	return d
}

func encodeRevisionConfirmed(enc *frame.Encoder, r RevisionConfirmed) {
	enc.Uint(r.number)
	enc.Uint(r.revision)
	enc.Int(r.age.Milliseconds())
}

func decodeRevisionConfirmed(dec *frame.Decoder) RevisionConfirmed {
	r := RevisionConfirmed{number: dec.Uint(), revision: dec.Uint()}
	millis := dec.Int()
	if millis < 0 || millis > maxAgeMillis {
		dec.Fail("the age of a confirmation is out of range")
		return r
	}
	r.age = time.Duration(millis) * time.Millisecond
	return r
}

// maxAgeMillis bounds the age of a confirmation on the wire: one year.
const maxAgeMillis = 365 * 24 * 3600 * 1000
