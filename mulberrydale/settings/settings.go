// Package settings decodes the settings file of a server process: the names of its
// VM, data centre and cluster, its addresses and peers, the control VMs, the data
// folder, the lag of the load balancer and the log level.
package settings

import (
	"os"
	"slices"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/document"
)

// Default and upper bound of balancer-lag-ms.
const (
	defaultBalancerLagMillis = 2000
	maxBalancerLagMillis     = 600_000
	// maxMemoryMB and maxOpenFiles are the upper bounds of memory-limit-mb and open-files-limit.
	maxMemoryMB  = 1 << 24
	maxOpenFiles = 1 << 24
)

// Settings holds the validated content of a settings file.
type Settings struct {
	vm               string
	dataCentre       string
	cluster          string
	callersAddress   string
	operatorsAddress string
	peersAddress     string
	peers            map[string]string
	controlVMs       []string
	dataFolder       string
	platformAddress  string
	balancerLag      time.Duration
	logLevel         zapcore.Level
	memoryBytes      int64
	maxOpenFiles     int
}

// VM returns the name of this VM.
func (s Settings) VM() string { return s.vm }

// DataCentre returns the data centre of this VM.
func (s Settings) DataCentre() string { return s.dataCentre }

// Cluster returns the cluster name, which must be the same on this VM and all its
// peers.
func (s Settings) Cluster() string { return s.cluster }

// CallersAddress returns the address at which this VM accepts callers. Like all
// addresses of the settings it consists of an IP address and a port.
func (s Settings) CallersAddress() string { return s.callersAddress }

// OperatorsAddress returns the address of the operators' API.
func (s Settings) OperatorsAddress() string { return s.operatorsAddress }

// PeersAddress returns the address at which this VM accepts connections of peers.
func (s Settings) PeersAddress() string { return s.peersAddress }

// Peers maps the names of the other VMs to their addresses.
func (s Settings) Peers() map[string]string { return s.peers }

// ControlVMs returns the names of the VMs that run a replica of the replicated log.
func (s Settings) ControlVMs() []string { return s.controlVMs }

// DataFolder returns the folder in which a control VM stores its journal. It may be
// empty on a VM that is no control VM, such as one without a disk.
func (s Settings) DataFolder() string { return s.dataFolder }

// PlatformAddress returns the address of the platform's list of machines, empty if
// there is none.
func (s Settings) PlatformAddress() string { return s.platformAddress }

// BalancerLag returns how long the load balancer may go on sending requests after
// the readiness check has begun to fail.
func (s Settings) BalancerLag() time.Duration { return s.balancerLag }

// LogLevel returns the lowest level that is logged.
func (s Settings) LogLevel() zapcore.Level { return s.logLevel }

// MemoryBytes returns the memory of the machine, 0 if it is not stated.
func (s Settings) MemoryBytes() int64 { return s.memoryBytes }

// MaxOpenFiles returns the number of files that the process may have open, 0 if it is
// not stated.
func (s Settings) MaxOpenFiles() int { return s.maxOpenFiles }

// IsControl reports whether this VM is one of the control VMs.
func (s Settings) IsControl() bool {
	return slices.Contains(s.controlVMs, s.vm)
}

// Read reads, decodes and checks a settings file. The error is DocumentMissing if the
// file can't be read, otherwise it is that of Decode.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, result.Wrap(err, result.DocumentMissing, "read the settings file")
	}
	return Decode(text)
}

// Decode decodes and checks the text of a settings file, JSON with comments. The
// error lists every fault with its result code, path and remedy.
func Decode(text []byte) (Settings, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return Settings{}, err
	}
	root := doc.Root()
	s := Settings{
		vm:               root.String("vm"),
		dataCentre:       root.String("data-centre"),
		cluster:          root.String("cluster"),
		callersAddress:   root.Address("callers-address"),
		operatorsAddress: root.Address("operators-address"),
		peersAddress:     root.Address("peers-address"),
		peers:            make(map[string]string),
		controlVMs:       root.Strings("control-vms"),
		dataFolder:       root.StringOr("data-folder", ""),
		memoryBytes:      int64(root.IntOr("memory-limit-mb", 0, maxMemoryMB, 0)) << 20,
		maxOpenFiles:     root.IntOr("open-files-limit", 0, maxOpenFiles, 0),
		balancerLag:      time.Duration(root.IntOr("balancer-lag-ms", 0, maxBalancerLagMillis, defaultBalancerLagMillis)) * time.Millisecond,
	}
	if root.Has("platform-address") {
		s.platformAddress = root.Address("platform-address")
	}
	for _, p := range root.Objects("peers") {
		name := p.String("vm")
		if _, duplicate := s.peers[name]; duplicate {
			doc.AddFault(result.DuplicateName, p.Path()+"/vm", "the VM is listed twice in peers", "remove one of the two entries")
		}
		s.peers[name] = p.Address("address")
		p.ReportUnknownKeys()
	}
	s.logLevel = decodeLogLevel(doc, root)
	root.ReportUnknownKeys()
	if doc.Err() == nil {
		s.checkControlVMs(doc)
	}
	return s, doc.Err()
}

// checkControlVMs checks control-vms against vm, peers and data-folder.
func (s Settings) checkControlVMs(doc *document.Document) {
	if len(s.controlVMs) == 0 {
		doc.AddFault(result.MissingKey, "/control-vms", "no control VM is listed", "list one, three or five VMs with a disk")
	}
	for _, name := range s.controlVMs {
		if _, known := s.peers[name]; !known && name != s.vm {
			doc.AddFault(result.UnknownReference, "/control-vms", "the control VM "+name+" is neither this VM nor listed in peers", "add it to peers, or remove it here")
		}
	}
	if s.IsControl() && s.dataFolder == "" {
		doc.AddFault(result.MissingKey, "", "this VM is a control VM and has no data-folder", "add data-folder, or remove the VM from control-vms")
	}
}

// decodeLogLevel decodes log-level, info by default. An unknown level is a fault of the
// document.
func decodeLogLevel(doc *document.Document, o *document.Object) zapcore.Level {
	logLevel, err := zapcore.ParseLevel(o.StringOr("log-level", "info"))
	if err != nil {
		doc.AddFault(result.WrongType, "/log-level", "the log level is not known", "use debug, info, warn or error")
	}
	return logLevel
}
