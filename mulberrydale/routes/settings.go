package routes

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/host"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/process/quota"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/document"
)

// Defaults and upper bounds of the settings. The key losses is the number of control
// VMs that may fail while a quorum of the voters remains. The ratio, the window and the
// overage are explained at decodePlacementLimits.
const (
	defaultGraceMillis              = 6000
	defaultLosses                   = 1
	defaultFurtherSendsRatio        = 0.1
	defaultFurtherSendsWindowMillis = 10_000
	defaultColdOverage              = 1.0
	defaultListLagMillis            = 1000
	defaultDrainTimeoutMillis       = 3000
	defaultRevocationMillis         = 5000
	defaultMetricsAddress           = "127.0.0.1:9464"
	minQuotaWindowMillis            = 100
	maxLosses                       = 1000
	maxRatio                        = 100
	maxRequestsInWindow             = 1e6
	// minRevocationMillis is above the time that an election takes, during which no
	// confirmation is renewed.
	minRevocationMillis = 1000
	maxMemoryMB         = 1 << 24
	maxOpenFiles        = 1 << 24
)

// DecodeSettings decodes and checks the text of a settings file, JSON with comments
// and trailing commas. The error lists every fault with its result code, path and
// remedy.
func DecodeSettings(text []byte) (host.Settings, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return host.Settings{}, err
	}
	root := doc.Root()
	s := host.NewSettings(root.String("vm"), root.String("data-centre"), decodeMetricsAddress(root)).
		WithGracePeriod(time.Duration(root.IntOr("grace-ms", 0, maxMillis, defaultGraceMillis))*time.Millisecond).
		WithTargetTimes(placement.NewTargetTimes(
			time.Duration(root.IntOr("list-lag-ms", 0, maxMillis, defaultListLagMillis))*time.Millisecond,
			time.Duration(root.IntOr("target-drain-ms", 0, maxMillis, defaultDrainTimeoutMillis))*time.Millisecond)).
		WithRevocation(decodeRevocation(root)).
		WithRollouts(decodeRolloutBounds(root)).
		WithQuotas(decodeQuotas(root)).
		WithSeeds(decodeSeeds(doc, root), root.BoolOr("first-start", false)).
		WithResources(int64(root.IntOr("memory-limit-mb", 0, maxMemoryMB, 0))<<20, root.IntOr("open-files-limit", 0, maxOpenFiles, 0)).
		WithTargets(root.Address("targets-address"), decodePlacementLimits(root))
	if root.Has("callers-address") {
		s = s.WithCallers(root.Address("callers-address"), root.Address("readiness-address"))
	}
	if root.Has("operators-address") {
		losses := root.IntOr("losses", 0, maxLosses, defaultLosses)
		s = s.WithControl(root.Address("operators-address"), root.Address("sessions-address"),
			root.String("data-folder"), 2*losses+1)
		if root.Has("sessions-reached-at") {
			s = s.WithAdvertisedAddress(root.Address("sessions-reached-at"))
		}
	}
	if s.CallersAddress() == "" && s.OperatorsAddress() == "" {
		doc.AddFault(result.MissingKey, "", "the VM serves neither callers nor operators", "set callers-address, operators-address or both")
	}
	root.ReportUnknownKeys()
	return s, doc.Err()
}

// decodeRevocation decodes the key revocation: with strict, no VM accepts a key for longer
// than within-ms after the acknowledgement of routes without it.
func decodeRevocation(o *document.Object) host.Revocation {
	strict, within := false, defaultRevocationMillis
	if o.Has("revocation") {
		r := o.Object("revocation")
		strict = r.BoolOr("strict", false)
		within = r.IntOr("within-ms", minRevocationMillis, maxMillis, within)
		r.ReportUnknownKeys()
	}
	return host.NewRevocation(strict, time.Duration(within)*time.Millisecond)
}

// decodeQuotas decodes how far the requests of a team may exceed its quota (key quotas): in
// any window of window-ms, they may number the team's rate times the window plus its burst,
// times 1 + overage, plus slack.
func decodeQuotas(o *document.Object) quota.Settings {
	if !o.Has("quotas") {
		return quota.DefaultSettings()
	}
	q := o.Object("quotas")
	window := time.Duration(q.IntOr("window-ms", minQuotaWindowMillis, maxMillis, int(quota.DefaultSettings().Window().Milliseconds()))) * time.Millisecond
	s := quota.NewSettings(window, q.NumberOr("overage", 0, maxRatio, 0), q.NumberOr("slack", 0, maxRequestsInWindow, 0))
	q.ReportUnknownKeys()
	return s
}

// decodeMetricsAddress returns metrics-address, or defaultMetricsAddress if the key is
// missing.
func decodeMetricsAddress(o *document.Object) string {
	if !o.Has("metrics-address") {
		return defaultMetricsAddress
	}
	return o.Address("metrics-address")
}

// decodeSeeds decodes seeds, a list of addresses that consist of an IP address and a
// port.
func decodeSeeds(doc *document.Document, o *document.Object) []string {
	out := o.Strings("seeds")
	for _, seed := range out {
		doc.CheckAddress("/seeds", seed)
	}
	return out
}

// decodePlacementLimits decodes the limits on extra attempts (key further-sends) and
// on requests to cold targets (key cold-targets), which apply to all VMs together.
// Within a window of window-ms, the number of extra attempts may be up to ratio times
// the number of first attempts, plus slack. In any second, a cold target may receive
// overage times its declared rate, plus slack requests.
func decodePlacementLimits(o *document.Object) placement.Limits {
	furtherSendsRatio, furtherSendsSlack, windowMillis := defaultFurtherSendsRatio, 0.0, defaultFurtherSendsWindowMillis
	if o.Has("further-sends") {
		f := o.Object("further-sends")
		furtherSendsRatio = f.NumberOr("ratio", 0, maxRatio, furtherSendsRatio)
		furtherSendsSlack = f.NumberOr("slack", 0, maxRequestsInWindow, furtherSendsSlack)
		windowMillis = f.IntOr("window-ms", 1000, maxMillis, windowMillis)
		f.ReportUnknownKeys()
	}
	coldOverage, coldSlack := defaultColdOverage, 0.0
	if o.Has("cold-targets") {
		c := o.Object("cold-targets")
		coldOverage = c.NumberOr("overage", 0, maxRatio, coldOverage)
		coldSlack = c.NumberOr("slack", 0, maxRequestsInWindow, coldSlack)
		c.ReportUnknownKeys()
	}
	return placement.NewLimits(furtherSendsRatio, furtherSendsSlack, time.Duration(windowMillis)*time.Millisecond, coldOverage, coldSlack)
}
