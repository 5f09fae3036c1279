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
	defaultBalancerLag = 2000
	maxBalancerLag     = 600_000
)

// Settings is the checked content of a settings file.
type Settings struct {
	vm          string
	dataCentre  string
	cluster     string
	callers     string
	operators   string
	peersAt     string
	peers       map[string]string
	controlVMs  []string
	dataFolder  string
	platform    string
	balancerLag time.Duration
	logLevel    zapcore.Level
}

// VM returns the name of this VM.
func (s Settings) VM() string { return s.vm }

// DataCentre returns the data centre of this VM.
func (s Settings) DataCentre() string { return s.dataCentre }

// Cluster returns the name that all peers share.
func (s Settings) Cluster() string { return s.cluster }

// CallersAddress returns where callers are served.
func (s Settings) CallersAddress() string { return s.callers }

// OperatorsAddress returns where operators are served.
func (s Settings) OperatorsAddress() string { return s.operators }

// PeersAddress returns where peers are served.
func (s Settings) PeersAddress() string { return s.peersAt }

// Peers returns the addresses of the other VMs by name.
func (s Settings) Peers() map[string]string { return s.peers }

// ControlVMs returns the VMs that keep the replicated log.
func (s Settings) ControlVMs() []string { return s.controlVMs }

// DataFolder returns the folder of this VM's state, empty without a disk.
func (s Settings) DataFolder() string { return s.dataFolder }

// PlatformAddress returns where the platform lists its VMs, empty for nowhere.
func (s Settings) PlatformAddress() string { return s.platform }

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
	o := doc.Root()
	s := Settings{
		vm:          o.String("vm"),
		dataCentre:  o.String("data-centre"),
		cluster:     o.String("cluster"),
		callers:     o.Address("callers-address"),
		operators:   o.Address("operators-address"),
		peersAt:     o.Address("peers-address"),
		peers:       make(map[string]string),
		controlVMs:  o.Strings("control-vms"),
		dataFolder:  o.StringOr("data-folder", ""),
		balancerLag: time.Duration(o.IntOr("balancer-lag-ms", 0, maxBalancerLag, defaultBalancerLag)) * time.Millisecond,
	}
	if o.Has("platform-address") {
		s.platform = o.Address("platform-address")
	}
	for _, p := range o.Objects("peers") {
		name := p.String("vm")
		if _, twice := s.peers[name]; twice {
			doc.AddFault(result.DuplicateName, p.Path()+"/vm", "the VM stands twice", "keep one of the two")
		}
		s.peers[name] = p.Address("address")
		p.ReportUnknownKeys()
	}
	s.logLevel = level(doc, o)
	o.ReportUnknownKeys()
	if doc.Err() == nil {
		s.checkControl(doc)
	}
	return s, doc.Err()
}

// checkControl checks what several keys say together.
func (s Settings) checkControl(doc *document.Document) {
	if len(s.controlVMs) == 0 {
		doc.AddFault(result.MissingKey, "/control-vms", "no VM keeps the log", "name one, three or five VMs with a disk")
	}
	for _, name := range s.controlVMs {
		if _, known := s.peers[name]; !known && name != s.vm {
			doc.AddFault(result.UnknownReference, "/control-vms", "the VM "+name+" is not among the peers", "add it to peers, or remove it here")
		}
	}
	if s.IsControl() && s.dataFolder == "" {
		doc.AddFault(result.MissingKey, "", "this VM is a control VM and has no data-folder", "add data-folder, or remove the VM from control-vms")
	}
}

func level(doc *document.Document, o *document.Object) zapcore.Level {
	out, err := zapcore.ParseLevel(o.StringOr("log-level", "info"))
	if err != nil {
		doc.AddFault(result.WrongType, "/log-level", "this level is not known", "write debug, info, warn or error")
	}
	return out
}
