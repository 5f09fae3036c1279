// Package installation starts an installation of real processes on loopback:
// a stand-in that plays all targets of a configuration, and entry VMs in its
// data centres. It ends only processes that it started.
package installation

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/connection/operator"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
	"github.com/mulberrydale/mulberrydale/runner/proxy"
)

const (
	// controlVMs is the number of VMs that keep the log.
	controlVMs = 3
	// firstPort is the first of the ports that the VMs listen on.
	firstPort = 19000
	// controlPort is the control page of the stand-in.
	controlPort = 20900
	// firstProxyPort is the first of the ports in front of the VMs' links, and
	// maxVMs the most VMs of an installation.
	firstProxyPort = 19300
	maxVMs         = 16
	readyPoll      = 20 * time.Millisecond
	readyLimit     = 20 * time.Second
	stopLimit      = 15 * time.Second
	// BalancerLag is the lag that the VMs are told to expect.
	BalancerLag = 500 * time.Millisecond
)

// VM is one started entry VM.
type VM struct {
	name      string
	centre    string
	callers   string
	operators string
	peers     string
	settings  string
	folder    string
	command   *exec.Cmd
	exited    chan struct{}
	err       error
}

// Name returns the name of the VM.
func (v *VM) Name() string { return v.name }

// DataCentre returns the data centre of the VM.
func (v *VM) DataCentre() string { return v.centre }

// CallersAddress returns the address for callers.
func (v *VM) CallersAddress() string { return v.callers }

// OperatorsAddress returns the address for operators.
func (v *VM) OperatorsAddress() string { return v.operators }

// DataFolder returns the data folder, empty where the VM keeps no log.
func (v *VM) DataFolder() string { return v.folder }

// Installation is the processes of one run.
type Installation struct {
	binaries string
	folder   string
	file     string
	cfg      configuration.Configuration
	vms      []*VM
	standin  *exec.Cmd
	seed     uint64
	warm     bool
	proxies  map[string]*proxy.Simplex
}

// New prepares an installation of n VMs for a configuration file. Binaries are
// taken from one folder, everything written goes into another.
func New(binaries, folder, file string, n int, seed uint64, warm bool) (*Installation, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	cfg, err := configuration.Decode(text)
	if err != nil {
		return nil, err
	}
	in := &Installation{binaries: binaries, folder: folder, file: file, cfg: cfg, seed: seed, warm: warm}
	for i := range n {
		in.vms = append(in.vms, in.vm(i))
	}
	if err := in.openProxies(); err != nil {
		return nil, err
	}
	for _, v := range in.vms {
		if err := os.WriteFile(v.settings, []byte(in.settingsText(v)), 0o600); err != nil {
			return nil, errors.Wrap(err, "settings")
		}
	}
	return in, nil
}

func (in *Installation) vm(i int) *VM {
	name := fmt.Sprintf("entry-%d", i+1)
	v := &VM{
		name:      name,
		centre:    in.cfg.DataCentres()[i%len(in.cfg.DataCentres())].Name(),
		callers:   fmt.Sprintf("127.0.0.1:%d", firstPort+i),
		operators: fmt.Sprintf("127.0.0.1:%d", firstPort+100+i),
		peers:     fmt.Sprintf("127.0.0.1:%d", firstPort+200+i),
		settings:  filepath.Join(in.folder, name+".json"),
	}
	if i < controlVMs {
		v.folder = filepath.Join(in.folder, name)
	}
	return v
}

func (in *Installation) settingsText(v *VM) string {
	var peers, control []string
	for i, other := range in.vms {
		if other != v {
			peers = append(peers, fmt.Sprintf(`{"vm": %q, "address": %q}`, other.name, proxyAddress(in.number(v), i)))
		}
		if i < controlVMs {
			control = append(control, fmt.Sprintf("%q", other.name))
		}
	}
	folder := ""
	if v.folder != "" {
		folder = fmt.Sprintf(`"data-folder": %q,`, v.folder)
	}
	return fmt.Sprintf(`{
  "vm": %q, "data-centre": %q, "cluster": %q,
  "callers-address": %q, "operators-address": %q, "peers-address": %q,
  "peers": [%s],
  "control-vms": [%s], %s
  "platform-address": "127.0.0.1:%d",
  "balancer-lag-ms": %d,
}
`, v.name, v.centre, in.cfg.Operator(), v.callers, v.operators, v.peers,
		strings.Join(peers, ", "), strings.Join(control, ", "), folder, controlPort, BalancerLag.Milliseconds())
}

// Configuration returns the declared configuration.
func (in *Installation) Configuration() configuration.Configuration { return in.cfg }

// DataCentreOf returns the data centre of a leaf, empty where it is not declared.
func (in *Installation) DataCentreOf(leaf string) string {
	for _, s := range in.cfg.Services() {
		for _, l := range s.Leafs() {
			if l.Name() == leaf {
				return l.DataCentre()
			}
		}
	}
	return ""
}

// VMs returns the entry VMs.
func (in *Installation) VMs() []*VM { return in.vms }

// Seed returns the seed of every draw.
func (in *Installation) Seed() uint64 { return in.seed }

// ConfigurationFile returns the path of the configuration.
func (in *Installation) ConfigurationFile() string { return in.file }

// StandinAddress returns the address of the stand-in's control page.
func (in *Installation) StandinAddress() string { return fmt.Sprintf("127.0.0.1:%d", controlPort) }

// Start starts the stand-in and all VMs, and waits until a leader is known.
func (in *Installation) Start(ctx context.Context) error {
	args := []string{"--configuration", in.file, "--control", in.StandinAddress(), "--seed", fmt.Sprint(in.seed)}
	if in.warm {
		args = append(args, "--warm")
	}
	in.standin = in.command("standin", args...)
	if err := in.standin.Start(); err != nil {
		return errors.Wrap(err, "stand-in")
	}
	if err := waitFor(ctx, "the stand-in", func() bool { return answers("http://" + in.StandinAddress() + "/vms") }); err != nil {
		return err
	}
	for _, v := range in.vms {
		if err := in.StartVM(v); err != nil {
			return err
		}
	}
	return waitFor(ctx, "a leader", func() bool {
		s, err := operator.NewClient(in.vms[0].operators).Status(ctx)
		return err == nil && s.Leader() != ""
	})
}

// StartVM starts one VM that does not run.
func (in *Installation) StartVM(v *VM) error {
	v.command = in.command("mulberrydale", "serve", "--settings", v.settings)
	v.exited = make(chan struct{})
	if err := v.command.Start(); err != nil {
		return errors.Wrapf(err, "VM %s", v.name)
	}
	go (&waiting{vm: v, command: v.command, exited: v.exited}).run()
	return nil
}

// waiting notes when a process ends.
type waiting struct {
	vm      *VM
	command *exec.Cmd
	exited  chan struct{}
}

func (w *waiting) run() {
	w.vm.err = w.command.Wait()
	close(w.exited)
}

// command returns a command whose output goes to a file of its name.
func (in *Installation) command(name string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(in.binaries, name), args...)
	label := name
	if len(args) > 2 && name == "mulberrydale" {
		label = strings.TrimSuffix(filepath.Base(args[2]), ".json")
	}
	if log, err := os.OpenFile(filepath.Join(in.folder, label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
		cmd.Stdout = log
		cmd.Stderr = log
	}
	return cmd
}

// WaitReady waits until every VM says that callers may come.
func (in *Installation) WaitReady(ctx context.Context) error {
	for _, v := range in.vms {
		if err := in.WaitVMReady(ctx, v); err != nil {
			return err
		}
	}
	return nil
}

// WaitVMReady waits until one VM says that callers may come.
func (in *Installation) WaitVMReady(ctx context.Context, v *VM) error {
	return waitFor(ctx, v.name, func() bool { return answers("http://" + v.callers + "/ready") })
}

// Signal sends a signal to a VM.
func (in *Installation) Signal(v *VM, s syscall.Signal) error {
	return errors.Wrapf(v.command.Process.Signal(s), "VM %s", v.name)
}

// StopVM asks a VM to leave and waits for its end.
func (in *Installation) StopVM(v *VM) error {
	if err := in.Signal(v, syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-v.exited:
		return errors.Wrapf(v.err, "VM %s", v.name)
	case <-time.After(stopLimit):
		_ = v.command.Process.Kill()
		return errors.Newf("VM %s did not stop", v.name)
	}
}

// KillVM ends a VM at once.
func (in *Installation) KillVM(v *VM) {
	_ = v.command.Process.Kill()
	<-v.exited
}

// Close ends everything that still runs.
func (in *Installation) Close() {
	for _, v := range in.vms {
		if v.command == nil || v.command.Process == nil {
			continue
		}
		select {
		case <-v.exited:
		default:
			in.KillVM(v)
		}
	}
	for _, p := range in.proxies {
		p.Close()
	}
	if in.standin != nil && in.standin.Process != nil {
		_ = in.standin.Process.Kill()
		_ = in.standin.Wait()
	}
}

// RunCtl runs mulberryctl against a VM and returns what it printed.
func (in *Installation) RunCtl(ctx context.Context, v *VM, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(in.binaries, "mulberryctl"), append([]string{"--vm", v.operators}, args...)...)
	text, err := cmd.CombinedOutput()
	return string(text), errors.Wrapf(err, "mulberryctl %s: %s", strings.Join(args, " "), text)
}

func answers(url string) bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get(url)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func waitFor(ctx context.Context, what string, done func() bool) error {
	limit := time.Now().Add(readyLimit)
	for !done() {
		if time.Now().After(limit) || ctx.Err() != nil {
			return errors.Newf("%s was not ready within %v", what, readyLimit)
		}
		time.Sleep(readyPoll)
	}
	return nil
}
