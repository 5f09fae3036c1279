// Package installation starts real processes on loopback: a stand-in that
// serves all targets of a configuration, and entry VMs in its data centres. It
// stops only processes that it started.
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
	// controlVMs is the number of VMs that hold a replica of the log. If there
	// are fewer VMs, all of them hold one.
	controlVMs = 3
	// firstVMPort is the first port of the VMs. VM i serves callers on
	// firstVMPort+i, operators on firstVMPort+100+i and peers on
	// firstVMPort+200+i.
	firstVMPort = 19000
	// standinPort is the port of the stand-in's control page.
	standinPort = 20900
	// firstProxyPort is the first port of the proxies between VMs, and maxVMs
	// the largest number of VMs for which each ordered pair has a port of its
	// own.
	firstProxyPort    = 19300
	maxVMs            = 16
	readyPollInterval = 20 * time.Millisecond
	readyTimeout      = 20 * time.Second
	stopTimeout       = 15 * time.Second
	// BalancerLag is the value of the setting balancer-lag-ms: how long the
	// platform's load balancer may go on sending requests to a VM that is no
	// longer ready.
	BalancerLag = 500 * time.Millisecond
)

// Installation holds the processes of one run. startProxies
// describes the keys of the field proxies.
type Installation struct {
	binaryFolder      string
	workFolder        string
	configurationFile string
	cfg               configuration.Configuration
	vms               []*VM
	standinCmd        *exec.Cmd
	seed              uint64
	warm              bool
	proxies           map[string]*proxy.Simplex
}

// New prepares an installation of n VMs for a configuration file: it starts the
// proxies and writes the settings files, but starts no process. n must be at
// most maxVMs, which New doesn't check. Binaries are taken from binaryFolder;
// settings, data and logs are written to workFolder. With warm set, the
// stand-in starts its leafs warm.
func New(binaryFolder, workFolder, configurationFile string, n int, seed uint64, warm bool) (*Installation, error) {
	text, err := os.ReadFile(configurationFile)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration file")
	}
	cfg, err := configuration.Decode(text)
	if err != nil {
		return nil, err
	}
	in := &Installation{binaryFolder: binaryFolder, workFolder: workFolder, configurationFile: configurationFile, cfg: cfg, seed: seed, warm: warm}
	for i := range n {
		in.vms = append(in.vms, in.newVM(i))
	}
	if err := in.startProxies(); err != nil {
		return nil, err
	}
	for _, v := range in.vms {
		if err := os.WriteFile(v.settingsFile, []byte(in.settingsText(v)), 0o600); err != nil {
			return nil, errors.Wrap(err, "write settings file")
		}
	}
	return in, nil
}

// newVM returns VM i, counted from 0. VMs are assigned to the data centres in
// turn, and the first controlVMs of them get a data folder.
func (in *Installation) newVM(i int) *VM {
	name := fmt.Sprintf("entry-%d", i+1)
	v := &VM{
		name:             name,
		centre:           in.cfg.DataCentres()[i%len(in.cfg.DataCentres())].Name(),
		callersAddress:   fmt.Sprintf("127.0.0.1:%d", firstVMPort+i),
		operatorsAddress: fmt.Sprintf("127.0.0.1:%d", firstVMPort+100+i),
		peersAddress:     fmt.Sprintf("127.0.0.1:%d", firstVMPort+200+i),
		settingsFile:     filepath.Join(in.workFolder, name+".json"),
	}
	if i < controlVMs {
		v.dataFolder = filepath.Join(in.workFolder, name)
	}
	return v
}

// settingsText returns the settings file of a VM. The VM reaches each peer
// through a proxy.
func (in *Installation) settingsText(v *VM) string {
	var peers, control []string
	for i, other := range in.vms {
		if other != v {
			peers = append(peers, fmt.Sprintf(`{"vm": %q, "address": %q}`, other.name, proxyAddress(in.index(v), i)))
		}
		if i < controlVMs {
			control = append(control, fmt.Sprintf("%q", other.name))
		}
	}
	folder := ""
	if v.dataFolder != "" {
		folder = fmt.Sprintf(`"data-folder": %q,`, v.dataFolder)
	}
	return fmt.Sprintf(`{
  "vm": %q, "data-centre": %q, "cluster": %q,
  "callers-address": %q, "operators-address": %q, "peers-address": %q,
  "peers": [%s],
  "control-vms": [%s], %s
  "platform-address": "127.0.0.1:%d",
  "balancer-lag-ms": %d,
}
`, v.name, v.centre, in.cfg.Operator(), v.callersAddress, v.operatorsAddress, v.peersAddress,
		strings.Join(peers, ", "), strings.Join(control, ", "), folder, standinPort, BalancerLag.Milliseconds())
}

// Configuration returns the decoded configuration.
func (in *Installation) Configuration() configuration.Configuration { return in.cfg }

// DataCentreOf returns the data centre of a leaf, or an empty string if the
// configuration doesn't declare the leaf.
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

// Seed returns the seed of all random choices.
func (in *Installation) Seed() uint64 { return in.seed }

// ConfigurationFile returns the path of the configuration.
func (in *Installation) ConfigurationFile() string { return in.configurationFile }

// StandinAddress returns the address of the stand-in's control page.
func (in *Installation) StandinAddress() string { return fmt.Sprintf("127.0.0.1:%d", standinPort) }

// Start starts the stand-in and all VMs, and waits until the first VM knows a
// leader. It waits at most readyTimeout for the stand-in, and as long for the
// leader.
func (in *Installation) Start(ctx context.Context) error {
	args := []string{"--configuration", in.configurationFile, "--control", in.StandinAddress(), "--seed", fmt.Sprint(in.seed)}
	if in.warm {
		args = append(args, "--warm")
	}
	in.standinCmd = in.command("standin", args...)
	if err := in.standinCmd.Start(); err != nil {
		return errors.Wrap(err, "start the stand-in")
	}
	if err := waitFor(ctx, "the stand-in", func() bool { return respondsOK("http://" + in.StandinAddress() + "/vms") }); err != nil {
		return err
	}
	for _, v := range in.vms {
		if err := in.StartVM(v); err != nil {
			return err
		}
	}
	return waitFor(ctx, "a leader", func() bool {
		s, err := operator.NewClient(in.vms[0].operatorsAddress).Status(ctx)
		return err == nil && s.Leader() != ""
	})
}

// StartVM starts the process of a VM, which must not be running.
func (in *Installation) StartVM(v *VM) error {
	v.cmd = in.command("mulberrydale", "serve", "--settings", v.settingsFile)
	v.exited = make(chan struct{})
	if err := v.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start VM %s", v.name)
	}
	go (&processWaiter{vm: v, cmd: v.cmd, exited: v.exited}).run()
	return nil
}

// processWaiter waits until the process of a VM exits, stores the exit error in
// the VM and closes exited.
type processWaiter struct {
	vm     *VM
	cmd    *exec.Cmd
	exited chan struct{}
}

func (w *processWaiter) run() {
	w.vm.exitErr = w.cmd.Wait()
	close(w.exited)
}

// command returns a command whose output is appended to a log file in
// workFolder. The log is named after the binary, or after the settings file for
// a VM. If the log can't be opened, the output is discarded.
func (in *Installation) command(name string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(in.binaryFolder, name), args...)
	label := name
	if len(args) > 2 && name == "mulberrydale" {
		label = strings.TrimSuffix(filepath.Base(args[2]), ".json")
	}
	if log, err := os.OpenFile(filepath.Join(in.workFolder, label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
		cmd.Stdout = log
		cmd.Stderr = log
	}
	return cmd
}

// WaitReady waits until every VM reports on its callers' address that it is
// ready, at most readyTimeout for each VM.
func (in *Installation) WaitReady(ctx context.Context) error {
	for _, v := range in.vms {
		if err := in.WaitVMReady(ctx, v); err != nil {
			return err
		}
	}
	return nil
}

// WaitVMReady waits until a VM reports on its callers' address that it is
// ready, at most readyTimeout.
func (in *Installation) WaitVMReady(ctx context.Context, v *VM) error {
	return waitFor(ctx, v.name, func() bool { return respondsOK("http://" + v.callersAddress + "/ready") })
}

// Signal sends a signal to the process of a VM and does not wait for its effect.
// It returns an error if the signal can't be sent, for example because the
// process has exited.
func (in *Installation) Signal(v *VM, s syscall.Signal) error {
	return errors.Wrapf(v.cmd.Process.Signal(s), "send a signal to VM %s", v.name)
}

// StopVM sends SIGTERM to a VM and waits until its process exits. It returns an
// error if the process exits with a failure. After stopTimeout it kills the
// process and returns an error without waiting for the exit.
func (in *Installation) StopVM(v *VM) error {
	if err := in.Signal(v, syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-v.exited:
		return errors.Wrapf(v.exitErr, "stop VM %s", v.name)
	case <-time.After(stopTimeout):
		_ = v.cmd.Process.Kill()
		return errors.Newf("VM %s did not exit on SIGTERM before the timeout and was killed", v.name)
	}
}

// KillVM kills the process of a VM and waits until it has exited.
func (in *Installation) KillVM(v *VM) {
	_ = v.cmd.Process.Kill()
	<-v.exited
}

// Close kills all processes that are still running and closes the proxies.
func (in *Installation) Close() {
	for _, v := range in.vms {
		if v.cmd == nil || v.cmd.Process == nil {
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
	if in.standinCmd != nil && in.standinCmd.Process != nil {
		_ = in.standinCmd.Process.Kill()
		_ = in.standinCmd.Wait()
	}
}

// RunCtl runs mulberryctl against a VM and returns its output. The error
// carries the output too.
func (in *Installation) RunCtl(ctx context.Context, v *VM, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(in.binaryFolder, "mulberryctl"), append([]string{"--vm", v.operatorsAddress}, args...)...)
	text, err := cmd.CombinedOutput()
	return string(text), errors.Wrapf(err, "run mulberryctl %s: %s", strings.Join(args, " "), text)
}

// respondsOK reports whether a GET request is answered with status 200 within a
// second.
func respondsOK(url string) bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get(url)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// waitFor polls ready until it returns true. It returns an error after
// readyTimeout or when ctx ends. The error begins with name, which says
// what is awaited.
func waitFor(ctx context.Context, name string, ready func() bool) error {
	end := time.Now().Add(readyTimeout)
	for !ready() {
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.Newf("%s was not available within %v or the run was interrupted", name, readyTimeout)
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}
