package relay

const (
	// usualFigure is the slowness figure of a machine on which work takes its usual
	// time, and maxFigure the highest one that is believed.
	usualFigure = 100
	maxFigure   = 10_000
)

// WithSlowness returns a copy of the load with the figure that a target reports for how
// long work takes on its machine at this moment, where 100 is the usual time. A figure
// that is not above 0 and at most 10,000 leaves the slowness unknown.
func (l Load) WithSlowness(figure float64) Load {
	l.slowness = 0
	if figure > 0 && figure <= maxFigure {
		l.slowness = figure / usualFigure
	}
	return l
}

// Slowness returns by what factor work takes longer than usual at the target, or false if
// the target did not report it.
func (l Load) Slowness() (factor float64, known bool) { return l.slowness, l.slowness > 0 }
