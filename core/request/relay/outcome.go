package relay

import "github.com/cockroachdb/errors"

// Outcome is the outcome of an attempt: Answered, Declined, Unsent or Lost.
type Outcome interface{ outcome() }

// Answered means that the target responded. The response may have a rest that
// is still being received.
type Answered struct {
	response *Response
	load     Load
	notice   Notice
}

// Declined means that the target did not run the request and will not run it.
type Declined struct {
	load        Load
	misdirected bool
	reason      string
	notice      Notice
}

// Unsent means that no byte of the request was sent.
type Unsent struct {
	err       error
	overLimit bool
}

// Lost means that the request was sent but no usable response was received. The
// target may have run it.
type Lost struct {
	err       error
	overLimit bool
	notice    Notice
}

// NoticeOf returns what the target said in the response of an outcome, whether the
// response is usable or not.
func NoticeOf(outcome Outcome) Notice {
	switch o := outcome.(type) {
	case Answered:
		return o.notice
	case Declined:
		return o.notice
	case Lost:
		return o.notice
	case Unsent:
	}
	return Notice{}
}

// WithNotice returns a copy of the outcome with what the target said in the response.
func (o Answered) WithNotice(n Notice) Answered {
	o.notice = n
	return o
}

// WithNotice returns a copy of the outcome with what the target said in the response.
func (o Declined) WithNotice(n Notice) Declined {
	o.notice = n
	return o
}

// WithNotice returns a copy of the outcome with what the target said in the response.
func (o Lost) WithNotice(n Notice) Lost {
	o.notice = n
	return o
}

// WithOverLimit returns a copy of the outcome that is marked if the target reset
// a new connection. A target does so when it is at its connection limit.
func (o Unsent) WithOverLimit(reset bool) Unsent {
	o.overLimit = reset
	return o
}

// WithOverLimit returns a copy of the outcome that is marked if the target reset
// a new connection. A target does so when it is at its connection limit.
func (o Lost) WithOverLimit(reset bool) Lost {
	o.overLimit = reset
	return o
}

// Cause returns the message of the innermost error, which usually comes from the
// operating system or a library, or "not known" if there is no error.
func (o Unsent) Cause() string { return cause(o.err) }

// Cause returns the message of the innermost error, which usually comes from the
// operating system or a library, or "not known" if there is no error.
func (o Lost) Cause() string { return cause(o.err) }

func cause(err error) string {
	if err == nil {
		return "not known"
	}
	return errors.UnwrapAll(err).Error()
}

// IsOverLimit reports whether the target reset a new connection, as it does at
// its connection limit.
func (o Unsent) IsOverLimit() bool { return o.overLimit }

// IsOverLimit reports whether the target reset a new connection, as it does at
// its connection limit.
func (o Lost) IsOverLimit() bool { return o.overLimit }

// Response returns the response.
func (o Answered) Response() *Response { return o.response }

// Load returns the load that the target reported.
func (o Answered) Load() Load { return o.load }

// Load returns the load that the target reported.
func (o Declined) Load() Load { return o.load }

// Misdirected reports whether the target at the address is not the instance that the
// request names.
func (o Declined) Misdirected() bool { return o.misdirected }

func (Answered) outcome() {}
func (Declined) outcome() {}
func (Unsent) outcome()   {}
func (Lost) outcome()     {}

// NewAnswered returns the outcome of an attempt with a response and the load
// that the target reported.
func NewAnswered(r *Response, load Load) Answered {
	return Answered{response: r, load: load}
}

// NewDeclined returns the outcome of an attempt that the target refused. misdirected is
// described at Misdirected.
func NewDeclined(load Load, misdirected bool, reason string) Declined {
	return Declined{load: load, misdirected: misdirected, reason: reason}
}

// NewUnsent returns the outcome of an attempt of which no byte was sent.
func NewUnsent(err error) Unsent { return Unsent{err: err} }

// NewLost returns the outcome of an attempt that was sent but got no usable
// response.
func NewLost(err error) Lost { return Lost{err: err} }
