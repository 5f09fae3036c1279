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
}

// NewSettings returns the settings of a VM in a data centre, which serves
// metrics at an address.
func NewSettings(vm, dataCentre, metricsAddress string) Settings {
	return Settings{vm: vm, dataCentre: dataCentre, metricsAddress: metricsAddress}
}

// WithCallers makes the VM answer callers, and the balancer's questions whether
// it is ready.
func (s Settings) WithCallers(callersAddress, readinessAddress string) Settings {
	s.callersAddress = callersAddress
	s.readinessAddress = readinessAddress
	return s
}

// WithControl makes the VM keep the log in a folder, answer operators, and hear
// the sessions of other VMs. The log grows to a number of voters.
func (s Settings) WithControl(operatorsAddress, sessionsAddress, dataFolder string, voters int) Settings {
	s.operatorsAddress = operatorsAddress
	s.sessionsAddress = sessionsAddress
	s.dataFolder = dataFolder
	s.voters = voters
	return s
}

// WithAdvertisedAddress tells where other VMs reach the sessions of this one, where that is
// another address than the one it listens on.
func (s Settings) WithAdvertisedAddress(address string) Settings {
	s.advertisedAddress = address
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

// CallersAddress returns where callers are answered.
func (s Settings) CallersAddress() string { return s.callersAddress }

// ReadinessAddress returns where the balancer asks.
func (s Settings) ReadinessAddress() string { return s.readinessAddress }

// OperatorsAddress returns where operators are answered.
func (s Settings) OperatorsAddress() string { return s.operatorsAddress }

// SessionsAddress returns where a control VM hears other VMs.
func (s Settings) SessionsAddress() string { return s.sessionsAddress }

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

// isControlVM reports whether the VM keeps the log.
func (s Settings) isControlVM() bool { return s.operatorsAddress != "" }

// ownAddress returns where other VMs reach this one, empty for an entry VM.
func (s Settings) ownAddress() string {
	switch {
	case !s.isControlVM():
		return ""
	case s.advertisedAddress != "":
		return s.advertisedAddress
	}
	return s.sessionsAddress
}

// Adapter is how an installation writes what a process reads: its settings, the
// routes, the list of targets, the headers of requests and operators' calls.
type Adapter interface {
	DecodeSettings(text []byte) (Settings, error)
	DecodeRoutes(document []byte) (*routing.Table, error)
	HeaderNames() exchange.Names
	NewListReader(s Settings, log *zap.Logger) cluster.ListReader
	OperatorHandler(api *OperatorAPI) http.Handler
}
