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
func (m Measurement) OK() bool {
	if m.AtLeast {
		return m.Value >= m.Bound
	}
	return m.Value <= m.Bound
}

// JSON returns the row as a JSON line.
func (m Measurement) JSON() string {
	return fmt.Sprintf(`{"scenario":%q,"deployment":%q,"figure":%q,"value":%g,"baseline":%g,"bound":%g,"at-least":%t,"ok":%t}`,
		m.Scenario, m.Deployment, m.Figure, m.Value, m.Baseline, m.Bound, m.AtLeast, m.OK())
}
