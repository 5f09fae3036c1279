package host

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/process/cluster"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/process/quota"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// Settings holds the settings of a process. An address has the form IP:port. In
// an address to listen on, the IP address may be left out, which means all
// interfaces. If callersAddress is empty, the process is not an entry VM and
// does not listen on readinessAddress either. If operatorsAddress is empty, it
// is not a control VM and does not listen on sessionsAddress either.
type Settings struct {
	vm                string
	dataCentre        string
	callersAddress    string
	readinessAddress  string
	operatorsAddress  string
	sessionsAddress   string
	advertisedAddress string
	metricsAddress    string
	seeds             []string
	firstStart        bool
	dataFolder        string
	listAddress       string
	gracePeriod       time.Duration
	voters            int
	limits            placement.Limits
	targetTimes       placement.TargetTimes
	revocation        Revocation
	memoryBytes       int64
	maxOpenFiles      int
	rollouts          rollout.Bounds
	quotas            quota.Settings
}

// Revocation states how soon a key that a configuration takes away stops being accepted.
type Revocation struct {
	strict bool
	within time.Duration
}

// NewRevocation returns the bound. If strict is true, no VM accepts a key for longer than
// within after the acknowledgement of a configuration without it. A VM that can't reach a
// control VM refuses requests with keys instead. If strict is false, such a VM goes on
// accepting the keys that it knows.
func NewRevocation(strict bool, within time.Duration) Revocation {
	return Revocation{strict: strict, within: within}
}

// Strict reports whether keys are accepted only for a bounded time without a confirmation.
func (r Revocation) Strict() bool { return r.strict }

// Within returns the time within which a key that was taken away stops being accepted.
func (r Revocation) Within() time.Duration { return r.within }

// NewSettings returns the settings of a VM in a data centre that serves metrics
// on metricsAddress.
func NewSettings(vm, dataCentre, metricsAddress string) Settings {
	return Settings{vm: vm, dataCentre: dataCentre, metricsAddress: metricsAddress, rollouts: rollout.DefaultBounds(), quotas: quota.DefaultSettings()}
}

// WithCallers makes the VM an entry VM that answers callers and the readiness
// checks of the load balancer on the given addresses. If callersAddress is
// empty, the VM is not an entry VM.
func (s Settings) WithCallers(callersAddress, readinessAddress string) Settings {
	s.callersAddress = callersAddress
	s.readinessAddress = readinessAddress
	return s
}

// WithControl makes the VM a control VM: it stores the replicated log in
// dataFolder, answers operators, and accepts the sessions of other VMs. Control
// VMs join the log as voters until it has the given number of voters. If
// operatorsAddress is empty, the VM is not a control VM.
func (s Settings) WithControl(operatorsAddress, sessionsAddress, dataFolder string, voters int) Settings {
	s.operatorsAddress = operatorsAddress
	s.sessionsAddress = sessionsAddress
	s.dataFolder = dataFolder
	s.voters = voters
	return s
}

// WithAdvertisedAddress sets the address at which other VMs reach the sessions
// of this VM, if it differs from the address on which it listens.
func (s Settings) WithAdvertisedAddress(address string) Settings {
	s.advertisedAddress = address
	return s
}

// WithSeeds sets the session addresses of the control VMs that the process dials
// first. firstStart is true on the first start of the whole installation, when
// these control VMs create the replicated log.
func (s Settings) WithSeeds(seeds []string, firstStart bool) Settings {
	s.seeds = seeds
	s.firstStart = firstStart
	return s
}

// WithTargets sets the address from which the list of targets is read, and the
// limits on retries and on requests to cold targets, which apply to all VMs
// together.
func (s Settings) WithTargets(listAddress string, limits placement.Limits) Settings {
	s.listAddress = listAddress
	s.limits = limits
	return s
}

// WithTargetTimes sets the times that the platform states for all targets.
func (s Settings) WithTargetTimes(times placement.TargetTimes) Settings {
	s.targetTimes = times
	return s
}

// WithRevocation sets how soon a key that was taken away stops being accepted.
func (s Settings) WithRevocation(r Revocation) Settings {
	s.revocation = r
	return s
}

// WithResources sets the memory of the machine in bytes and the number of files that the
// process may have open, 0 for a value that is not stated.
func (s Settings) WithResources(memoryBytes int64, maxOpenFiles int) Settings {
	s.memoryBytes = memoryBytes
	s.maxOpenFiles = maxOpenFiles
	return s
}

// WithRollouts sets the bounds of rollouts, which apply to all VMs together.
func (s Settings) WithRollouts(bounds rollout.Bounds) Settings {
	s.rollouts = bounds
	return s
}

// WithQuotas sets how far the requests of a team may exceed its quota within a window.
func (s Settings) WithQuotas(quotas quota.Settings) Settings {
	s.quotas = quotas
	return s
}

// WithGracePeriod sets the time between SIGTERM and SIGKILL.
func (s Settings) WithGracePeriod(d time.Duration) Settings {
	s.gracePeriod = d
	return s
}

// Rollouts returns the bounds of rollouts.
func (s Settings) Rollouts() rollout.Bounds { return s.rollouts }

// VM returns the name of the VM.
func (s Settings) VM() string { return s.vm }

// DataCentre returns the data centre of the VM.
func (s Settings) DataCentre() string { return s.dataCentre }

// CallersAddress returns the address on which callers are answered.
func (s Settings) CallersAddress() string { return s.callersAddress }

// ReadinessAddress returns the address for the readiness checks of the load
// balancer.
func (s Settings) ReadinessAddress() string { return s.readinessAddress }

// OperatorsAddress returns the address on which operators are answered.
func (s Settings) OperatorsAddress() string { return s.operatorsAddress }

// MetricsAddress returns the address on which the metrics are served.
func (s Settings) MetricsAddress() string { return s.metricsAddress }

// SessionsAddress returns the address on which a control VM accepts the
// sessions of other VMs.
func (s Settings) SessionsAddress() string { return s.sessionsAddress }

// Seeds returns the session addresses of some control VMs.
func (s Settings) Seeds() []string { return s.seeds }

// FirstStart reports whether the whole installation is started for the first
// time.
func (s Settings) FirstStart() bool { return s.firstStart }

// DataFolder returns the folder in which the replicated log is stored.
func (s Settings) DataFolder() string { return s.dataFolder }

// ListAddress returns the address from which the list of targets is read.
func (s Settings) ListAddress() string { return s.listAddress }

// GracePeriod returns the time between SIGTERM and SIGKILL.
func (s Settings) GracePeriod() time.Duration { return s.gracePeriod }

// MemoryBytes returns the memory of the machine, 0 if it is not stated.
func (s Settings) MemoryBytes() int64 { return s.memoryBytes }

// MaxOpenFiles returns the number of files that the process may have open, 0 if it is
// not stated.
func (s Settings) MaxOpenFiles() int { return s.maxOpenFiles }

// Voters returns the number of voters to which the replicated log grows.
func (s Settings) Voters() int { return s.voters }

// Revocation returns how soon a key that was taken away stops being accepted.
func (s Settings) Revocation() Revocation { return s.revocation }

// Quotas returns how far the requests of a team may exceed its quota within a window.
func (s Settings) Quotas() quota.Settings { return s.quotas }

// isControlVM reports whether the VM stores the replicated log and answers
// operators.
func (s Settings) isControlVM() bool { return s.operatorsAddress != "" }

// ownAddress returns the address at which other VMs reach the sessions of this
// VM, empty if it is not a control VM.
func (s Settings) ownAddress() string {
	switch {
	case !s.isControlVM():
		return ""
	case s.advertisedAddress != "":
		return s.advertisedAddress
	}
	return s.sessionsAddress
}

// Adapter defines the formats and protocols of one kind of installation.
type Adapter interface {
	// DecodeSettings decodes and validates the text of a settings file.
	DecodeSettings(text []byte) (Settings, error)
	// DecodeRoutes decodes and validates a document of routes that was accepted, maybe by
	// an earlier version of the program.
	DecodeRoutes(document []byte) (*routing.Table, error)
	// AcceptRoutes is DecodeRoutes for a document that an operator publishes. It may reject
	// more.
	AcceptRoutes(document []byte) (*routing.Table, error)
	// HeaderNames returns the names of the HTTP headers of requests and
	// responses.
	HeaderNames() exchange.HeaderNames
	// NewListReader returns the reader of the list of targets.
	NewListReader(s Settings, log *zap.Logger) cluster.ListReader
	// OperatorHandler returns the HTTP handler that maps the calls of operators
	// to the methods of api.
	OperatorHandler(api *OperatorAPI) http.Handler
}
