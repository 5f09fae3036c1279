package routing

import (
	"time"
)

// Service is a group of interchangeable targets.
type Service struct {
	name           string
	healthPath     string
	maxConnections int
	warmUp         time.Duration
	maxColdRate    float64
}

// NewService returns a service. healthPath is the URL path of the health check
// of its targets, or empty if none is declared.
func NewService(name, healthPath string) Service {
	return Service{name: name, healthPath: healthPath}
}

// WithMaxConnections returns a copy of the service with the number of
// connections that each target accepts from all callers together; 0 means no
// limit.
func (s Service) WithMaxConnections(n int) Service {
	s.maxConnections = n
	return s
}

// WithWarmUp returns a copy of the service with the time for which a target is
// cold after its start, and the maximum number of requests per second that a
// cold target can handle; a rate of 0 means no limit.
func (s Service) WithWarmUp(warmUp time.Duration, maxColdRate float64) Service {
	s.warmUp = warmUp
	s.maxColdRate = maxColdRate
	return s
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// HealthPath returns the URL path of the health check of the targets, or the
// empty string if none is declared.
func (s Service) HealthPath() string { return s.healthPath }

// MaxConnections returns the number of connections that a target accepts from
// all callers together; 0 means no limit.
func (s Service) MaxConnections() int { return s.maxConnections }

// WarmUp returns how long a target is cold after its start.
func (s Service) WarmUp() time.Duration { return s.warmUp }

// MaxColdRate returns the maximum number of requests per second that a cold
// target can handle; 0 means no limit.
func (s Service) MaxColdRate() float64 { return s.maxColdRate }

// Limits bounds the size of requests, the time to receive a request header,
// and the idle time of a connection. A zero field means no limit.
type Limits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewLimits returns limits for the size of the request header and body in
// bytes, the time to receive the header, and the idle time of a connection.
// Zero means no limit.
func NewLimits(headerBytes int, bodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// HeaderBytes returns the maximum size of a request header in bytes.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the maximum size of a request body in bytes.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout returns the maximum time to receive a request header.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns the maximum idle time between two requests on a
// connection.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }
