package routes

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/host"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/document"
)

// What holds where the settings name nothing.
const (
	defaultGraceMillis  = 6000
	defaultLosses       = 1
	defaultExtraRatio   = 0.1
	defaultExtraWindow  = 10_000
	defaultColdOverage  = 1.0
	defaultMetrics      = "127.0.0.1:9464"
	maxLosses           = 1000
	maxRatio            = 100
	maxRequestsInWindow = 1e6
)

// DecodeSettings decodes and checks the text of a settings file. An error lists
// every fault with its code, place and remedy.
func DecodeSettings(text []byte) (host.Settings, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return host.Settings{}, err
	}
	o := doc.Root()
	s := host.NewSettings(o.String("vm"), o.String("data-centre"), metricsAddress(o)).
		WithGracePeriod(time.Duration(o.IntOr("grace-ms", 0, maxMillis, defaultGraceMillis))*time.Millisecond).
		WithSeeds(seeds(doc, o), o.BoolOr("first-start", false)).
		WithTargets(o.Address("targets-address"), limits(o))
	if o.Has("callers-address") {
		s = s.WithCallers(o.Address("callers-address"), o.Address("readiness-address"))
	}
	if o.Has("operators-address") {
		losses := o.IntOr("losses", 0, maxLosses, defaultLosses)
		s = s.WithControl(o.Address("operators-address"), o.Address("sessions-address"),
			o.String("data-folder"), 2*losses+1)
		if o.Has("sessions-reached-at") {
			s = s.WithAdvertisedAddress(o.Address("sessions-reached-at"))
		}
	}
	if s.CallersAddress() == "" && s.OperatorsAddress() == "" {
		doc.AddFault(result.MissingKey, "", "this VM serves nobody", "name callers-address, operators-address or both")
	}
	o.ReportUnknownKeys()
	return s, doc.Err()
}

func metricsAddress(o *document.Object) string {
	if !o.Has("metrics-address") {
		return defaultMetrics
	}
	return o.Address("metrics-address")
}

func seeds(doc *document.Document, o *document.Object) []string {
	out := o.Strings("seeds")
	for _, seed := range out {
		doc.CheckAddress("/seeds", seed)
	}
	return out
}

// limits reads the bounds that all VMs keep to together.
func limits(o *document.Object) placement.Limits {
	ratio, slack, window := defaultExtraRatio, 0.0, defaultExtraWindow
	if o.Has("further-sends") {
		f := o.Object("further-sends")
		ratio = f.NumberOr("ratio", 0, maxRatio, ratio)
		slack = f.NumberOr("slack", 0, maxRequestsInWindow, slack)
		window = f.IntOr("window-ms", 1000, maxMillis, window)
		f.ReportUnknownKeys()
	}
	overage, coldSlack := defaultColdOverage, 0.0
	if o.Has("cold-targets") {
		c := o.Object("cold-targets")
		overage = c.NumberOr("overage", 0, maxRatio, overage)
		coldSlack = c.NumberOr("slack", 0, maxRequestsInWindow, coldSlack)
		c.ReportUnknownKeys()
	}
	return placement.NewLimits(ratio, slack, time.Duration(window)*time.Millisecond, overage, coldSlack)
}
