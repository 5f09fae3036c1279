// Package settings reads what one process must know to start: its addresses,
// its data centre, its peers and its data folder.
package settings

import (
	"os"
	"slices"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/document"
)

const (
	defaultBalancerLagMillis = 2000
	maxBalancerLagMillis     = 600_000
)

// Settings is the checked content of a settings file.
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
}

// VM returns the name of this VM.
func (s Settings) VM() string { return s.vm }

// DataCentre returns the data centre of this VM.
func (s Settings) DataCentre() string { return s.dataCentre }

// Cluster returns the name that all peers share.
func (s Settings) Cluster() string { return s.cluster }

// CallersAddress returns where callers are served.
func (s Settings) CallersAddress() string { return s.callersAddress }

// OperatorsAddress returns where operators are served.
func (s Settings) OperatorsAddress() string { return s.operatorsAddress }

// PeersAddress returns where peers are served.
func (s Settings) PeersAddress() string { return s.peersAddress }

// Peers returns the addresses of the other VMs by name.
func (s Settings) Peers() map[string]string { return s.peers }

// ControlVMs returns the VMs that keep the replicated log.
func (s Settings) ControlVMs() []string { return s.controlVMs }

// DataFolder returns the folder of this VM's state, empty without a disk.
func (s Settings) DataFolder() string { return s.dataFolder }

// PlatformAddress returns where the platform lists its VMs, empty for nowhere.
func (s Settings) PlatformAddress() string { return s.platformAddress }

// BalancerLag returns how long the balancer may send after readiness fails.
func (s Settings) BalancerLag() time.Duration { return s.balancerLag }

// LogLevel returns the least level that is logged.
func (s Settings) LogLevel() zapcore.Level { return s.logLevel }

// IsControl reports whether this VM keeps the replicated log.
func (s Settings) IsControl() bool {
	return slices.Contains(s.controlVMs, s.vm)
}

// Read reads and checks a settings file.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, result.Wrap(err, result.DocumentMissing, "settings")
	}
	return Decode(text)
}

// Decode reads and checks the text of a settings file. An error lists every
// fault with its code, place and remedy.
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
		balancerLag:      time.Duration(root.IntOr("balancer-lag-ms", 0, maxBalancerLagMillis, defaultBalancerLagMillis)) * time.Millisecond,
	}
	if root.Has("platform-address") {
		s.platformAddress = root.Address("platform-address")
	}
	for _, p := range root.Objects("peers") {
		name := p.String("vm")
		if _, duplicate := s.peers[name]; duplicate {
			doc.Add(result.DuplicateName, p.Path()+"/vm", "the VM stands twice", "keep one of the two")
		}
		s.peers[name] = p.Address("address")
		p.Done()
	}
	s.logLevel = decodeLogLevel(doc, root)
	root.Done()
	if doc.Err() == nil {
		s.checkControlVMs(doc)
	}
	return s, doc.Err()
}

// checkControlVMs checks what several keys say together.
func (s Settings) checkControlVMs(doc *document.Document) {
	if len(s.controlVMs) == 0 {
		doc.Add(result.MissingKey, "/control-vms", "no VM keeps the log", "name one, three or five VMs with a disk")
	}
	for _, name := range s.controlVMs {
		if _, known := s.peers[name]; !known && name != s.vm {
			doc.Add(result.UnknownReference, "/control-vms", "the VM "+name+" is not among the peers", "add it to peers, or remove it here")
		}
	}
	if s.IsControl() && s.dataFolder == "" {
		doc.Add(result.MissingKey, "", "this VM is a control VM and has no data-folder", "add data-folder, or remove the VM from control-vms")
	}
}

func decodeLogLevel(doc *document.Document, o *document.Object) zapcore.Level {
	logLevel, err := zapcore.ParseLevel(o.StringOr("log-level", "info"))
	if err != nil {
		doc.Add(result.WrongType, "/log-level", "this level is not known", "write debug, info, warn or error")
	}
	return logLevel
}
