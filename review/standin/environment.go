package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout = 15 * time.Second
	// listLag is the time by which the platform's list lags.
	listLag = 800 * time.Millisecond
	// gracePeriod is the time from SIGTERM to SIGKILL, as in the settings.
	gracePeriod = 6 * time.Second
)

// wireNames holds the names of the wire and the templates of the documents, which stand
// in a file beside this program.
type wireNames struct {
	values    map[string]string
	templates map[string]json.RawMessage
}

func readNames(path string) (wireNames, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return wireNames{}, err
	}
	n := wireNames{values: make(map[string]string), templates: make(map[string]json.RawMessage)}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(text, &all); err != nil {
		return wireNames{}, err
	}
	for key, raw := range all {
		var s string
		if json.Unmarshal(raw, &s) == nil {
			n.values[key] = s
			continue
		}
		n.templates[key] = raw
	}
	return n, nil
}

// name returns a name of the wire.
func (n wireNames) name(key string) string {
	v, ok := n.values[key]
	if !ok {
		panic("no name for " + key)
	}
	return v
}

// fill returns a template with its placeholders replaced: @key@ by a text, and "#key#",
// with its quotes, by a number.
func (n wireNames) fill(template string, values map[string]string) []byte {
	text := string(n.templates[template])
	for key, v := range values {
		text = strings.ReplaceAll(text, "@"+key+"@", v)
		text = strings.ReplaceAll(text, `"#`+key+`#"`, v)
	}
	return []byte(text)
}

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// environment is the process under test and all that surrounds it.
type environment struct {
	names   wireNames
	rec     *recorder
	program string
	folder  string
	front   string
	ready   string
	control string

	settings map[string]string
	cmd      *exec.Cmd
	ended    <-chan struct{}

	randMu sync.Mutex
	random *rand.Rand

	listMu    sync.Mutex
	instances []*instance

	closers   []func()
	closeOnce sync.Once
}

func newEnvironment(namesPath, program, recordPath string, seed uint64) (*environment, error) {
	names, err := readNames(namesPath)
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	e := &environment{names: names, rec: &recorder{file: file, begin: time.Now()}, program: program, folder: folder,
		random: rand.New(rand.NewPCG(seed, 1))}
	e.closers = append(e.closers, func() { _ = os.RemoveAll(folder) })
	return e, nil
}

// close ends everything that was started, the latest first.
func (e *environment) close() {
	e.closeOnce.Do(func() {
		for i := len(e.closers) - 1; i >= 0; i-- {
			e.closers[i]()
		}
	})
}

// chance reports true with a probability.
func (e *environment) chance(p float64) bool {
	e.randMu.Lock()
	defer e.randMu.Unlock()
	return e.random.Float64() < p
}

// exponential returns a random time with a mean.
func (e *environment) exponential(mean time.Duration) time.Duration {
	e.randMu.Lock()
	defer e.randMu.Unlock()
	return time.Duration(e.random.ExpFloat64() * float64(mean))
}

// uniform returns a random time below a limit.
func (e *environment) uniform(limit time.Duration) time.Duration {
	e.randMu.Lock()
	defer e.randMu.Unlock()
	return time.Duration(e.random.Float64() * float64(limit))
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// instance is an entry of the platform's list.
type instance struct {
	id        string
	service   string
	address   string
	state     string
	coldUntil time.Time
}

// addInstance puts a leaf on the platform's list.
func (e *environment) addInstance(id, service, address string) {
	e.listMu.Lock()
	defer e.listMu.Unlock()
	e.instances = append(e.instances, &instance{id: id, service: service, address: address, state: e.names.name("state-ready")})
}

// setState changes the entry of a leaf on the platform's list after the time by which
// the list lags.
func (e *environment) setState(id, state string, coldUntil time.Time) {
	time.AfterFunc(listLag, func() {
		e.listMu.Lock()
		defer e.listMu.Unlock()
		for _, i := range e.instances {
			if i.id == id {
				i.state, i.coldUntil = state, coldUntil
			}
		}
		e.rec.line("the list shows leaf %s as %s", id, state)
	})
}

// entries returns the entries of the platform's list. The caller holds listMu.
func (e *environment) entries() []json.RawMessage {
	var out []json.RawMessage
	for _, i := range e.instances {
		cold := max(0, time.Until(i.coldUntil).Milliseconds())
		out = append(out, e.names.fill("instance-entry", map[string]string{"id": i.id, "service": i.service, "address": i.address,
			"state": i.state, "warmup": fmt.Sprint(cold)}))
	}
	return out
}

// serveList serves the platform's list on one page.
func (e *environment) serveList() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(e.names.name("list-path"), func(w http.ResponseWriter, _ *http.Request) {
		e.listMu.Lock()
		defer e.listMu.Unlock()
		var page map[string]json.RawMessage
		_ = json.Unmarshal(e.names.templates["list-template"], &page)
		page["instances"], _ = json.Marshal(e.entries())
		text, _ := json.Marshal(page)
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
	})
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(ln) }()
	e.closers = append(e.closers, func() { _ = server.Close() })
	return ln.Addr().String(), nil
}

// start prepares the settings, starts the process under test and waits until it takes
// the configuration and reports that it is ready.
func (e *environment) start(config string) error {
	list, err := e.serveList()
	if err != nil {
		return err
	}
	addresses := make([]string, 4)
	for i := range addresses {
		if addresses[i], err = freeAddress(); err != nil {
			return err
		}
	}
	e.front, e.ready, e.control = addresses[0], addresses[1], addresses[2]
	_, internal, _ := net.SplitHostPort(addresses[3])
	data := filepath.Join(e.folder, "data")
	if err := os.Mkdir(data, 0o700); err != nil {
		return err
	}
	e.settings = map[string]string{"front": e.front, "readiness": e.ready, "control": e.control, "internal": internal, "data": data, "list": list, "first": "true"}
	if err := e.launch(); err != nil {
		return err
	}
	e.closers = append(e.closers, func() { e.stop(syscall.SIGTERM) })
	if err := e.awaitReady(config); err != nil {
		text, _ := os.ReadFile(filepath.Join(e.folder, "log"))
		return fmt.Errorf("%w; log: %s", err, text)
	}
	return nil
}

// launch writes the settings file and starts the process with the command of the deploy
// file. Only the first start of all has the flag for it in its settings.
func (e *environment) launch() error {
	path := filepath.Join(e.folder, "boot.json")
	if err := os.WriteFile(path, e.names.fill("settings", e.settings), 0o600); err != nil {
		return err
	}
	e.settings["first"] = "false"
	log, err := os.OpenFile(filepath.Join(e.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(e.program, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.folder, e.names.name("settings-variable") + "=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	e.cmd, e.ended = cmd, done
	return nil
}

// stop sends a signal to the process, and SIGKILL if it is still there after the grace
// period, and waits until it has ended.
func (e *environment) stop(signal syscall.Signal) {
	_ = e.cmd.Process.Signal(signal)
	select {
	case <-e.ended:
	case <-time.After(gracePeriod):
		_ = e.cmd.Process.Kill()
		<-e.ended
	}
}

// publish sends a configuration once and returns whether it was acknowledged, and an
// error if it was refused.
func (e *environment) publish(config string) (bool, error) {
	req, err := http.NewRequest(http.MethodPut, "http://"+e.control+"/config", bytes.NewReader(e.names.templates[config]))
	if err != nil {
		return false, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, nil
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	if res.StatusCode >= 400 && res.StatusCode < 500 {
		return false, fmt.Errorf("the configuration was refused: %s", text)
	}
	e.rec.line("operator sent %s, answered with %d", config, res.StatusCode)
	return res.StatusCode == http.StatusOK, nil
}

// awaitReady sends the configuration until it is acknowledged, and waits until the
// process reports that it is ready.
func (e *environment) awaitReady(config string) error {
	limit := time.Now().Add(startTimeout)
	acknowledged := false
	for time.Now().Before(limit) {
		select {
		case <-e.ended:
			return fmt.Errorf("the process under test ended")
		case <-time.After(100 * time.Millisecond):
		}
		if !acknowledged {
			var err error
			if acknowledged, err = e.publish(config); err != nil {
				return err
			}
			continue
		}
		res, err := http.Get("http://" + e.ready + "/ready")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			e.rec.line("the process is ready")
			return nil
		}
	}
	return fmt.Errorf("the process under test did not become ready")
}
