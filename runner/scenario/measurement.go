package scenario

import "fmt"

// Measurement is one figure of a scenario.
type Measurement struct {
	Scenario, Deployment, Figure string
	Value, Baseline, Bound       float64
	// AtLeast says that the value must reach the bound instead of staying
	// under it.
	AtLeast bool
}

// OK reports whether the value keeps its bound.
func (r Measurement) OK() bool {
	if r.AtLeast {
		return r.Value >= r.Bound
	}
	return r.Value <= r.Bound
}

// JSON returns the row as a JSON line.
func (r Measurement) JSON() string {
	return fmt.Sprintf(`{"scenario":%q,"deployment":%q,"figure":%q,"value":%g,"baseline":%g,"bound":%g,"at-least":%t,"ok":%t}`,
		r.Scenario, r.Deployment, r.Figure, r.Value, r.Baseline, r.Bound, r.AtLeast, r.OK())
}
