package exchange

import (
	"strconv"
	"strings"

	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// slownessField is the index of the slowness figure in a load header. The field before it,
// the number of slots, is known from the target list.
const slownessField = 3

// parseLoad parses a load header of the form "running,waiting", "running,waiting,slots" or
// "running,waiting,slots,slowness". It returns the zero Load, which means that the load is
// unknown, if one of the first two numbers is malformed.
func parseLoad(text string) relay.Load {
	fields := strings.Split(text, ",")
	if len(fields) < 2 {
		return relay.Load{}
	}
	running, err := strconv.Atoi(strings.TrimSpace(fields[0]))
	if err != nil {
		return relay.Load{}
	}
	waiting, err := strconv.Atoi(strings.TrimSpace(fields[1]))
	if err != nil {
		return relay.Load{}
	}
	load := relay.NewLoad(running, waiting)
	if len(fields) > slownessField {
		load = load.WithSlowness(parseFigure(strings.TrimSpace(fields[slownessField])))
	}
	return load
}

// parseFigure returns a number in decimal notation without sign and exponent, or 0 for any
// other text.
func parseFigure(text string) float64 {
	if strings.Trim(text, "0123456789.") != "" {
		return 0
	}
	figure, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return figure
}
