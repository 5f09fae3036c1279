package cluster_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/cluster"
	"github.com/mulberrydale/mulberrydale/core/process/confirmation"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/quota"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// fakeTargetList is a ListReader with targets that a test can replace. It counts
// the reads, and fails them while failing is true.
type fakeTargetList struct {
	mu        sync.Mutex
	instances []discovery.Instance
	reads     int
	failing   bool
}

// unreachableReader is a ListReader that always fails.
type unreachableReader struct{}

func (unreachableReader) Read(context.Context) ([]discovery.Instance, error) {
	return nil, result.New(result.Unreachable, "unreadable")
}

func (l *fakeTargetList) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

func (l *fakeTargetList) Read(context.Context) ([]discovery.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.failing {
		return nil, result.New(result.Unreachable, "broken")
	}
	return l.instances, nil
}

func (l *fakeTargetList) set(ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = nil
	for _, id := range ids {
		l.instances = append(l.instances, discovery.NewInstance(id, "s", "10.0.0.1:1", "dc-1", 1))
	}
}

// recordingObserver records the latest routes and target list of a process.
type recordingObserver struct {
	mu               sync.Mutex
	routes           replica.Routes
	list             discovery.List
	versionDecreased bool
	changes          int
	// lowest is the lowest version that was adopted, 0 for none.
	lowest uint64
	// holder is told which revision is in force, as an entry role does.
	holder *confirmation.Holder
}

func (o *recordingObserver) RoutesChanged(routes replica.Routes, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versionDecreased = o.versionDecreased || routes.Version() < o.routes.Version()
	if o.lowest == 0 || routes.Version() < o.lowest {
		o.lowest = routes.Version()
	}
	o.routes = routes
	o.changes++
	o.holder.PutInForce(routes.Revision(), bytes.HasPrefix(routes.Document(), []byte(documentWithTeams)))
}

func (o *recordingObserver) TargetsRead(list discovery.List, _ bool, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = list
}

func (o *recordingObserver) version() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.routes.Version()
}

func (o *recordingObserver) lowestVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lowest
}

func (o *recordingObserver) wentBack() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versionDecreased
}

func (o *recordingObserver) changeCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changes
}

func (o *recordingObserver) targets() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.list.Instances())
}

// process is one VM of a test installation. folder is the path of the data folder, or
// the empty string for an entry VM.
type process struct {
	name     string
	address  string
	folder   string
	cluster  *cluster.Cluster
	observer *recordingObserver
	findings *fakeFindings
	slowness fakeSlowness
	cancel   context.CancelFunc
	done     chan struct{}
}

// processLoop runs the cluster of a process and closes done at the end.
type processLoop struct {
	process *process
	socket  net.Listener
}

func (l *processLoop) run(ctx context.Context) {
	defer close(l.process.done)
	l.process.cluster.Run(ctx, l.socket)
}

// installation is a set of control VMs and entry VMs on the loopback interface.
type installation struct {
	t         *testing.T
	list      *fakeTargetList
	seeds     []string
	sockets   map[string]net.Listener
	processes map[string]*process
	// dataCentres has the data centres of VMs that are not in dc-1.
	dataCentres map[string]string
	// onlyControlVMsRead gives entry VMs that start later a reader that always
	// fails.
	onlyControlVMsRead bool
}

// newInstallation starts an installation; the first three control VMs are seeds.
func newInstallation(t *testing.T, controlVMs, entryVMs int) *installation {
	return newInstallationIn(t, nil, controlVMs, entryVMs)
}

// newInstallationIn starts an installation with some VMs in other data centres than dc-1.
func newInstallationIn(t *testing.T, dataCentres map[string]string, controlVMs, entryVMs int) *installation {
	in := &installation{t: t, dataCentres: dataCentres, list: &fakeTargetList{}, sockets: make(map[string]net.Listener), processes: make(map[string]*process)}
	in.list.set("i-1")
	var names []string
	for n := range controlVMs {
		name := fmt.Sprintf("control-%d", n)
		in.listen(name, "127.0.0.1:0")
		if n < 3 {
			in.seeds = append(in.seeds, in.sockets[name].Addr().String())
		}
		names = append(names, name)
	}
	for _, name := range names {
		in.start(name, t.TempDir(), true)
	}
	for n := range entryVMs {
		in.start(fmt.Sprintf("entry-%d", n), "", true)
	}
	t.Cleanup(func() {
		for _, p := range in.processes {
			p.stop()
		}
	})
	// Runs before the processes stop: no process may go back to older routes.
	t.Cleanup(func() {
		for _, p := range in.processes {
			assert.Assert(t, !p.observer.wentBack(), "%s went back to older routes", p.name)
		}
	})
	return in
}

// listen opens the listener of a control VM. It retries because the address of a
// VM that has just stopped may still be in use.
func (in *installation) listen(name, address string) {
	in.t.Helper()
	poll.WaitOn(in.t, func(poll.LogT) poll.Result {
		socket, err := net.Listen("tcp", address)
		if err != nil {
			return poll.Continue("%v", err)
		}
		in.sockets[name] = socket
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

// start starts a process, an entry VM if folder is the empty string. firstStart is
// false if the installation has been started before.
func (in *installation) start(name, folder string, firstStart bool) *process {
	in.t.Helper()
	p := &process{name: name, folder: folder, observer: &recordingObserver{}, findings: newFakeFindings(), done: make(chan struct{})}
	socket := in.sockets[name]
	if socket != nil {
		p.address = socket.Addr().String()
	}
	dataCentre := in.dataCentres[name]
	if dataCentre == "" {
		dataCentre = "dc-1"
	}
	identity := cluster.NewIdentity(name, p.address, dataCentre, name, firstStart)
	var reader cluster.ListReader = in.list
	if folder == "" && in.onlyControlVMsRead {
		reader = unreachableReader{}
	}
	p.cluster = cluster.New(identity, in.seeds, reader, p.observer, zap.NewNop())
	p.observer.holder = p.cluster.Confirmation()
	if folder != "" {
		assert.NilError(in.t, p.cluster.EnableControl(folder, 3, bootclock.Now()))
	} else {
		p.cluster.SetFindingSource(p.findings)
		p.cluster.SetSlownessSource(&p.slowness)
	}
	p.cluster.EnableQuotas(quota.NewSettings(5*time.Second, 0.1, 20), decodeTestTeams)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go (&processLoop{process: p, socket: socket}).run(ctx)
	in.processes[name] = p
	return p
}

func (p *process) stop() {
	p.cancel()
	<-p.done
}

// restart stops a control VM and starts it again at the same address, with the
// given data folder.
func (in *installation) restart(name, folder string) {
	in.t.Helper()
	p := in.processes[name]
	p.stop()
	in.listen(name, p.address)
	in.start(name, folder, false)
}

// restartAll stops all processes and starts them again with their data folders.
func (in *installation) restartAll() {
	in.t.Helper()
	for _, p := range in.processes {
		p.stop()
	}
	for name, p := range in.processes {
		if p.folder == "" {
			in.start(name, "", false)
			continue
		}
		in.listen(name, p.address)
		in.start(name, p.folder, false)
	}
}

// publish submits a version through a control VM and retries until it succeeds.
func (in *installation) publish(via string, version uint64) {
	in.t.Helper()
	in.publishDocument(via, version, fmt.Appendf(nil, "version %d", version))
}

// publishDocument is publish with a given document.
func (in *installation) publishDocument(via string, version uint64, document []byte) {
	in.t.Helper()
	poll.WaitOn(in.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := in.processes[via].cluster.Submit(ctx, replica.NewPublishRoutes(version, document)); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// waitForVersion waits until all processes have adopted a version.
func (in *installation) waitForVersion(version uint64) {
	in.t.Helper()
	for _, p := range in.processes {
		poll.WaitOn(in.t, func(poll.LogT) poll.Result {
			if got := p.observer.version(); got != version {
				return poll.Continue("%s is at version %d instead of %d", p.name, got, version)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
}

// read reads the routes, confirmed by a quorum, through a process, once.
func (in *installation) read(via string) (replica.Routes, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return in.processes[via].cluster.Read(ctx)
}
