package host

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/process/cluster"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// Settings are what a process must know to start. Addresses are IP numbers with
// ports; one that is empty is not served.
type Settings struct {
	vm          string
	dataCentre  string
	callers     string
	readiness   string
	operators   string
	sessions    string
	reachedAt   string
	metrics     string
	seeds       []string
	firstStart  bool
	dataFolder  string
	listAddress string
	gracePeriod time.Duration
	voters      int
	limits      placement.Limits
}

// NewSettings returns the settings of a VM in a data centre, which serves
// metrics at an address.
func NewSettings(vm, dataCentre, metrics string) Settings {
	return Settings{vm: vm, dataCentre: dataCentre, metrics: metrics}
}

// WithCallers makes the VM answer callers, and the balancer's questions whether
// it is ready.
func (s Settings) WithCallers(callers, readiness string) Settings {
	s.callers = callers
	s.readiness = readiness
	return s
}

// WithControl makes the VM keep the log in a folder, answer operators, and hear
// the sessions of other VMs. The log grows to a number of voters.
func (s Settings) WithControl(operators, sessions, dataFolder string, voters int) Settings {
	s.operators = operators
	s.sessions = sessions
	s.dataFolder = dataFolder
	s.voters = voters
	return s
}

// ReachedAt tells where other VMs reach the sessions of this one, where that is
// another address than the one it listens on.
func (s Settings) ReachedAt(address string) Settings {
	s.reachedAt = address
	return s
}

// WithSeeds tells the session addresses of some control VMs. On the first start
// of the whole installation they found the log.
func (s Settings) WithSeeds(seeds []string, firstStart bool) Settings {
	s.seeds = seeds
	s.firstStart = firstStart
	return s
}

// WithTargets tells where the list of targets is read, and the bounds that all
// VMs keep to together.
func (s Settings) WithTargets(listAddress string, limits placement.Limits) Settings {
	s.listAddress = listAddress
	s.limits = limits
	return s
}

// WithGracePeriod tells the time between SIGTERM and SIGKILL.
func (s Settings) WithGracePeriod(d time.Duration) Settings {
	s.gracePeriod = d
	return s
}

// VM returns the name of the VM.
func (s Settings) VM() string { return s.vm }

// DataCentre returns the data centre of the VM.
func (s Settings) DataCentre() string { return s.dataCentre }

// Callers returns where callers are answered.
func (s Settings) Callers() string { return s.callers }

// Readiness returns where the balancer asks.
func (s Settings) Readiness() string { return s.readiness }

// Operators returns where operators are answered.
func (s Settings) Operators() string { return s.operators }

// Sessions returns where a control VM hears other VMs.
func (s Settings) Sessions() string { return s.sessions }

// Seeds returns the session addresses of some control VMs.
func (s Settings) Seeds() []string { return s.seeds }

// FirstStart reports whether the whole installation starts for the first time.
func (s Settings) FirstStart() bool { return s.firstStart }

// DataFolder returns the folder of the log.
func (s Settings) DataFolder() string { return s.dataFolder }

// ListAddress returns where the list of targets is read.
func (s Settings) ListAddress() string { return s.listAddress }

// GracePeriod returns the time between SIGTERM and SIGKILL.
func (s Settings) GracePeriod() time.Duration { return s.gracePeriod }

// Voters returns the number of voters that the log grows to.
func (s Settings) Voters() int { return s.voters }

// controls reports whether the VM keeps the log.
func (s Settings) controls() bool { return s.operators != "" }

// ownSessions returns where other VMs reach this one, empty for an entry VM.
func (s Settings) ownSessions() string {
	switch {
	case !s.controls():
		return ""
	case s.reachedAt != "":
		return s.reachedAt
	}
	return s.sessions
}

// Wire is how an installation writes what a process reads: its settings, the
// routes, the list of targets, the headers of requests and operators' calls.
type Wire interface {
	Settings(text []byte) (Settings, error)
	Routes(document []byte) (*routing.Table, error)
	Names() exchange.HeaderNames
	Reader(s Settings, log *zap.Logger) cluster.ListReader
	Operators(c *Changes) http.Handler
}
