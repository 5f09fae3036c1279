package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"
)

//go:embed names.json settings.tmpl configuration.tmpl instances.tmpl
var files embed.FS

var templates = template.Must(template.ParseFS(files, "*.tmpl"))

// names holds the names of the platform's headers and paths.
type names struct {
	Request, Deadline, Signature, Instance, Load string
	NotRun                                       string `json:"not-run"`
	List, Configuration, Parts, Missing          string
	SettingsVariable                             string `json:"settings-variable"`
}

const (
	controlVMs = 3
	entryVMs   = 1
	// leafs is the number of leafs of each service.
	leafs = 3
	// startTimeout limits how long the deployment may take until it answers.
	startTimeout = 30 * time.Second
	callTimeout  = time.Second
)

// machine is what the settings of a process hold.
type machine struct {
	Name, Role, Class, Serves, IP, Zone, DataFolder, Platform string
	ControlPort, CallersPort, ReadinessPort, SessionPort      int
	Seeds                                                     []string
	FirstStart                                                bool
}

// deployment is three control VMs and an entry VM, with their platform and leafs.
type deployment struct {
	program, folder string
	names           names
	record          *record
	network         string
	controlPort     int
	callersPort     int
	readinessPort   int
	controls        []machine
	entries         []machine
	processes       []*exec.Cmd
	// running holds the latest process of each machine by name.
	running map[string]*exec.Cmd
	servers []*http.Server
	leafs   []leaf
	// otherWriter holds the entries of another writer in the list.
	otherWriter atomic.Pointer[[]leaf]
	version     int
	// laterRoute is set once the configuration has the route to laterService.
	laterRoute bool
	// routes is the number of further routes.
	routes int
	// publishedBytes is the size of all configurations that were acknowledged.
	publishedBytes int
}

// leaf is an entry of the platform's list: a leaf, or an entry of another writer.
type leaf struct{ ID, Service, Address, Zone string }

// The services of the deployment. The first configuration has a route to firstService only.
const (
	firstService = "roster"
	laterService = "agenda"
)

// newDeployment starts the platform and the leafs of a deployment.
func newDeployment(program, recordPath string) (*deployment, error) {
	d := &deployment{program: program, running: make(map[string]*exec.Cmd)}
	text, err := files.ReadFile("names.json")
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &d.names); err != nil {
		return nil, err
	}
	if d.record, err = newRecord(recordPath); err != nil {
		return nil, err
	}
	if d.folder, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	if err := d.prepare(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// prepare starts the platform and the leafs and describes the machines.
func (d *deployment) prepare() error {
	// A network of its own keeps the fixed port of the metrics free.
	d.network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
	ports, err := freePorts(d.address(1), 4)
	if err != nil {
		return err
	}
	d.controlPort, d.callersPort, d.readinessPort = ports[0], ports[1], ports[2]
	platform, err := d.serve(d.address(250), http.HandlerFunc(d.answerList))
	if err != nil {
		return err
	}
	for n := range leafs {
		for _, service := range []string{firstService, laterService} {
			l := leaf{ID: fmt.Sprintf("i-%s-%d", service, n), Service: service, Zone: zoneOf(n)}
			if l.Address, err = d.serve(d.address(200+n), d.leafHandler(l.ID)); err != nil {
				return err
			}
			d.leafs = append(d.leafs, l)
		}
	}
	var seeds []string
	for n := range controlVMs {
		seeds = append(seeds, fmt.Sprintf("%s:%d", d.address(1+n), d.controlPort))
	}
	for n := range controlVMs {
		m := machine{Name: fmt.Sprintf("core-%d", n+1), Role: "control", Class: "core", Serves: "control", IP: d.address(1 + n), Zone: zoneOf(n),
			DataFolder: filepath.Join(d.folder, fmt.Sprintf("data-%d", n+1)), Platform: platform,
			ControlPort: ports[0], SessionPort: ports[3], Seeds: seeds, FirstStart: true}
		if err := os.Mkdir(m.DataFolder, 0o700); err != nil {
			return err
		}
		d.controls = append(d.controls, m)
	}
	for n := range entryVMs {
		d.entries = append(d.entries, machine{Name: fmt.Sprintf("front-%d", n+1), Role: "entry", Class: "front", Serves: "front", IP: d.address(11 + n), Zone: zoneOf(n),
			Platform: platform, CallersPort: ports[1], ReadinessPort: ports[2], SessionPort: ports[3], Seeds: seeds, FirstStart: true})
	}
	return nil
}

// start starts the processes of all machines, publishes a configuration and waits until the
// entry VM is ready.
func (d *deployment) start() error {
	for _, m := range d.machines() {
		if _, err := d.startProcess(m); err != nil {
			return err
		}
	}
	if !d.awaitService(startTimeout) {
		return errors.New("the deployment did not start in time")
	}
	return nil
}

// machines returns all machines of the deployment.
func (d *deployment) machines() []machine { return slices.Concat(d.controls, d.entries) }

// address returns the address of a machine of the deployment.
func (d *deployment) address(host int) string { return fmt.Sprintf("%s.%d", d.network, host) }

// zoneOf returns the zone of the machine with a number.
func zoneOf(n int) string { return "bru-" + string(rune('a'+n%3)) }

// freePorts returns ports that are free at an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		socket, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer socket.Close()
		ports = append(ports, socket.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// serve serves HTTP at a free port of an address and returns the address with the port.
func (d *deployment) serve(ip string, handler http.Handler) (string, error) {
	socket, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(socket) }()
	return socket.Addr().String(), nil
}

// answerList answers with the platform's list of the leafs.
func (d *deployment) answerList(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != d.names.List {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	entries := slices.Clone(d.leafs)
	if other := d.otherWriter.Load(); other != nil {
		entries = append(entries, *other...)
	}
	_ = templates.ExecuteTemplate(w, "instances.tmpl", entries)
}

// leafHandler returns the handler of a leaf, which runs each request that names it.
func (d *deployment) leafHandler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get(d.names.Request)
		w.Header().Set(d.names.Request, request)
		w.Header().Set(d.names.Load, "1,0,6")
		if expected := r.Header.Get(d.names.Instance); expected != "" && expected != id {
			w.Header().Set(d.names.NotRun, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		d.record.write("leaf %s runs %s %s of request %q", id, r.Method, r.RequestURI, request)
		w.Header().Set(d.names.Signature, signatureOf(id, request))
		if strings.HasPrefix(r.RequestURI, searchPath) {
			// ServeContent answers a request for a range of bytes with that range.
			http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(recordsOf(id)))
			return
		}
		_, _ = io.WriteString(w, "the answer\n")
	})
}

// startProcess starts the program with the settings of a machine.
func (d *deployment) startProcess(m machine) (*exec.Cmd, error) {
	var settings bytes.Buffer
	if err := templates.ExecuteTemplate(&settings, "settings.tmpl", m); err != nil {
		return nil, err
	}
	path := filepath.Join(d.folder, m.Name+".json")
	if err := os.WriteFile(path, settings.Bytes(), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.folder, m.Name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(d.program, "serve")
	cmd.Env = []string{d.names.SettingsVariable + "=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	d.processes = append(d.processes, cmd)
	d.running[m.Name] = cmd
	d.record.write("started %s at %s as process %d", m.Name, m.IP, cmd.Process.Pid)
	return cmd, nil
}

// awaitService publishes a configuration and waits until the entry VM is ready. It reports
// whether that was so in time.
func (d *deployment) awaitService(limit time.Duration) bool {
	ready := fmt.Sprintf("http://%s:%d/ready", d.entries[0].IP, d.readinessPort)
	published := false
	for began := time.Now(); time.Since(began) < limit; time.Sleep(200 * time.Millisecond) {
		if !published {
			published = d.publish() == http.StatusOK
			continue
		}
		if status, _ := call(http.MethodGet, ready, nil); status == http.StatusOK {
			d.record.write("the entry VM is ready")
			return true
		}
	}
	return false
}

// publish sends a configuration of the next version to a control VM and returns the status.
func (d *deployment) publish() int { return d.publishAt(rand.IntN(controlVMs)) }

// publishAt sends a configuration of the next version to the control VM with a number.
func (d *deployment) publishAt(n int) int {
	var text bytes.Buffer
	values := map[string]any{"Version": d.version + 1, "Later": d.laterRoute, "Routes": make([]struct{}, d.routes)}
	if err := templates.ExecuteTemplate(&text, "configuration.tmpl", values); err != nil {
		return 0
	}
	size := text.Len()
	status, _ := call(http.MethodPut, fmt.Sprintf("http://%s:%d%s", d.controls[n].IP, d.controlPort, d.names.Configuration), &text)
	if status == http.StatusOK {
		d.publishedBytes += size
		d.version++
		d.record.write("configuration %d acknowledged", d.version)
	}
	return status
}

// call makes a call on a connection of its own and returns the status, 0 without an answer.
func call(method, url string, body io.Reader) (int, []byte) {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return 0, nil
	}
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: callTimeout}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, text
}

// closeOnSignal ends all processes that were started if this one is told to end.
func (d *deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.close()
		os.Exit(exitFailed)
	}()
}

// close ends all processes that were started, and removes their files.
func (d *deployment) close() {
	for _, cmd := range d.processes {
		_ = cmd.Process.Kill()
		// A process that was ended before is waited for already.
		_ = cmd.Wait()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(d.folder)
}
