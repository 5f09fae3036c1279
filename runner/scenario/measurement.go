package scenario

import "fmt"

// Measurement is one measured value of a scenario with its baseline and its
// bound. Figure is the name of the value. Deployment is the name that the
// configuration gives the installation. The baseline is reported for comparison
// only; OK doesn't use it.
type Measurement struct {
	Scenario, Deployment, Figure string
	Value, Baseline, Bound       float64
	// AtLeast is true if Bound is the smallest allowed value, and false if it is
	// the largest.
	AtLeast bool
}

// OK reports whether the value is within its bound.
func (m Measurement) OK() bool {
	if m.AtLeast {
		return m.Value >= m.Bound
	}
	return m.Value <= m.Bound
}

// JSON returns the measurement as one line of JSON.
func (m Measurement) JSON() string {
	return fmt.Sprintf(`{"scenario":%q,"deployment":%q,"figure":%q,"value":%g,"baseline":%g,"bound":%g,"at-least":%t,"ok":%t}`,
		m.Scenario, m.Deployment, m.Figure, m.Value, m.Baseline, m.Bound, m.AtLeast, m.OK())
}
