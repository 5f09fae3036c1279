package discovery

import "time"

// Slowness is what a target reported of its machine: by what factor work took longer than
// usual there, and how long ago that was.
type Slowness struct {
	id     string
	factor float64
	age    time.Duration
}

// NewSlowness returns the slowness that an instance reported an age ago.
func NewSlowness(id string, factor float64, age time.Duration) Slowness {
	return Slowness{id: id, factor: factor, age: age}
}

// ID returns the id of the instance.
func (s Slowness) ID() string { return s.id }

// Factor returns by what factor work took longer than usual.
func (s Slowness) Factor() float64 { return s.factor }

// Age returns how long ago the instance reported it.
func (s Slowness) Age() time.Duration { return s.age }
