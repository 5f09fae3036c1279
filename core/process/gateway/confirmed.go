package gateway

import (
	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// watchConfirmation counts and logs when the routes in force cease to be confirmed and when
// they are confirmed again. Without teams nothing needs a confirmation.
func (e *Entry) watchConfirmation(now bootclock.Time) {
	confirmed := e.confirmation.Needed() && e.confirmation.Confirmed(now)
	if confirmed == e.wasConfirmed {
		return
	}
	e.wasConfirmed = confirmed
	s := e.confirmation.Status(now)
	age, _ := s.Age()
	fields := []zap.Field{zap.Uint64("revision", s.InForce()), zap.Uint64("newest", s.Newest()), zap.Duration("age", age), zap.Bool("needed", e.confirmation.Needed())}
	if confirmed {
		e.gateway.telemetry.scope.Counter("confirmation.regained").Inc(1)
		e.log.Info("routes confirmed", fields...)
		return
	}
	e.gateway.telemetry.scope.Counter("confirmation.lost").Inc(1)
	e.log.Warn("routes no longer confirmed", fields...)
}
