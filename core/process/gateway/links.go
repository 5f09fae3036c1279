package gateway

import (
	"time"

	"go.uber.org/zap"
)

// linkLog logs the link times to other data centres, by which targets are chosen.
type linkLog struct{ logged map[string]time.Duration }

// changes returns the data centres whose link time is known for the first time, or has
// become half as long again or shorter by a third since it was last returned.
func (l *linkLog) changes(times map[string]time.Duration) []string {
	var out []string
	for centre, link := range times {
		last, known := l.logged[centre]
		if known && 2*link <= 3*last && 3*link >= 2*last {
			continue
		}
		if l.logged == nil {
			l.logged = make(map[string]time.Duration)
		}
		l.logged[centre] = link
		out = append(out, centre)
	}
	return out
}

// write logs the changes.
func (l *linkLog) write(times map[string]time.Duration, log *zap.Logger) {
	for _, centre := range l.changes(times) {
		log.Info("link time to a data centre measured", zap.String("data-centre", centre), zap.Float64("ms", float64(times[centre])/float64(time.Millisecond)))
	}
}
