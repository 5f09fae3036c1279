package cluster_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/process/cluster"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// fakeTargetList is a target list that can be changed and made to fail.
type fakeTargetList struct {
	mu        sync.Mutex
	instances []discovery.Instance
	reads     int
	failing   bool
}

// unreachableReader is a target list that can't be reached from a VM.
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

// recordingObserver keeps what a process was told.
type recordingObserver struct {
	mu               sync.Mutex
	routes           replica.Routes
	list             discovery.List
	versionDecreased bool
	changes          int
}

func (o *recordingObserver) RoutesChanged(routes replica.Routes, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versionDecreased = o.versionDecreased || routes.Version() < o.routes.Version()
	o.routes = routes
	o.changes++
}

func (o *recordingObserver) TargetsChanged(list discovery.List, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = list
}

func (o *recordingObserver) version() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.routes.Version()
}

func (o *recordingObserver) targets() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.list.Instances())
}

// process is one process of a test installation.
type process struct {
	name     string
	address  string
	folder   string
	cluster  *cluster.Cluster
	observer *recordingObserver
	cancel   context.CancelFunc
	done     chan struct{}
}

// processLoop runs a member's links.
type processLoop struct {
	process *process
	socket  net.Listener
}

func (l *processLoop) run(ctx context.Context) {
	defer close(l.process.done)
	l.process.cluster.Run(ctx, l.socket)
}

// installation is control VMs and entry VMs on loopback.
type installation struct {
	t         *testing.T
	list      *fakeTargetList
	seeds     []string
	sockets   map[string]net.Listener
	processes map[string]*process
	// onlyControlVMsRead keeps entry VMs that start from reading the list.
	onlyControlVMsRead bool
}

func newInstallation(t *testing.T, controlVMs, entryVMs int) *installation {
	in := &installation{t: t, list: &fakeTargetList{}, sockets: make(map[string]net.Listener), processes: make(map[string]*process)}
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
	return in
}

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

// start starts a process; an empty folder makes it an entry VM.
func (in *installation) start(name, folder string, firstStart bool) *process {
	in.t.Helper()
	p := &process{name: name, folder: folder, observer: &recordingObserver{}, done: make(chan struct{})}
	socket := in.sockets[name]
	if socket != nil {
		p.address = socket.Addr().String()
	}
	identity := cluster.NewIdentity(name, p.address, "dc-1", name, firstStart)
	var reader cluster.ListReader = in.list
	if folder == "" && in.onlyControlVMsRead {
		reader = unreachableReader{}
	}
	p.cluster = cluster.New(identity, in.seeds, reader, p.observer, zap.NewNop())
	if folder != "" {
		assert.NilError(in.t, p.cluster.EnableControl(folder, 3, time.Now()))
	}
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

// restart stops a control VM and starts it at its address, with the folder.
func (in *installation) restart(name, folder string) {
	in.t.Helper()
	p := in.processes[name]
	p.stop()
	in.listen(name, p.address)
	in.start(name, folder, false)
}

func (in *installation) publish(via string, version uint64) {
	in.t.Helper()
	document := fmt.Appendf(nil, "version %d", version)
	poll.WaitOn(in.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := in.processes[via].cluster.Submit(ctx, replica.NewPublish(version, document)); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

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

func (in *installation) read(via string) (replica.Routes, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return in.processes[via].cluster.Read(ctx)
}

func TestPublishReachesAllVMs(t *testing.T) {
	in := newInstallation(t, 4, 2)
	in.publish("control-3", 7)
	in.waitForVersion(7)
	// An older version that arrives again is acknowledged and changes nothing.
	in.publish("control-0", 5)
	in.publish("control-1", 7)
	for name := range in.processes {
		if routes, err := in.read(name); in.processes[name].folder != "" {
			assert.NilError(t, err)
			assert.Equal(t, routes.Version(), uint64(7))
			assert.Equal(t, string(routes.Document()), "version 7")
		}
	}
	in.publish("control-2", 9)
	in.waitForVersion(9)
}

func TestTargetListReachesAllVMs(t *testing.T) {
	in := newInstallation(t, 3, 3)
	in.list.set("i-1", "i-2")
	waitForTargets := func(n int) {
		t.Helper()
		for _, p := range in.processes {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if p.observer.targets() != n {
					return poll.Continue("%s has %d targets", p.name, p.observer.targets())
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
		}
	}
	waitForTargets(2)
	in.list.set("i-2", "i-3", "i-4")
	waitForTargets(3)
	// The reader is gone: another one takes over.
	in.list.set("i-5")
	for _, name := range []string{"control-0", "control-1"} {
		in.processes[name].stop()
		delete(in.processes, name)
	}
	waitForTargets(1)
}

func TestControlVMRejoinsWithEmptyDisk(t *testing.T) {
	in := newInstallation(t, 3, 1)
	in.publish("control-0", 1)
	in.waitForVersion(1)
	for n, name := range []string{"control-0", "control-1", "control-2"} {
		in.restart(name, t.TempDir())
		in.publish(name, uint64(n+2))
		in.waitForVersion(uint64(n + 2))
		// Its repair is over once it counts as a voter.
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !in.processes[name].cluster.IsVoter() {
				return poll.Continue("%s does not vote yet", name)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
}

func TestRoutesSurviveFullRestart(t *testing.T) {
	in := newInstallation(t, 3, 1)
	in.publish("control-1", 12)
	in.waitForVersion(12)
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
	in.waitForVersion(12)
}

// All control VMs restart and count their readings from the start; entry VMs,
// which know a high number, must follow their new list at once.
func TestEntryVMAdoptsListAfterControlVMRestart(t *testing.T) {
	const readsBeforeRestart, maxReads = 8, 5
	in := newInstallation(t, 3, 0)
	in.onlyControlVMsRead = true
	entry := in.start("entry-0", "", true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := in.list.count(); n < readsBeforeRestart || entry.observer.targets() != 1 {
			return poll.Continue("%d readings", n)
		}
		return poll.Success()
	}, poll.WithTimeout(40*time.Second), poll.WithDelay(20*time.Millisecond))
	controlVMs := []string{"control-0", "control-1", "control-2"}
	for _, name := range controlVMs {
		in.processes[name].stop()
	}
	in.list.set("i-2", "i-3")
	for _, name := range controlVMs {
		p := in.processes[name]
		in.listen(name, p.address)
		in.start(name, p.folder, false)
	}
	readsAtRestart := in.list.count()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if entry.observer.targets() != 2 {
			return poll.Continue("the entry VM keeps its old list")
		}
		return poll.Success()
	}, poll.WithTimeout(40*time.Second), poll.WithDelay(20*time.Millisecond))
	// Each of the three may read once before it hears of the others.
	reads := in.list.count() - readsAtRestart
	assert.Assert(t, reads <= maxReads, "it took %d readings", reads)
}

// A VM without a log that starts later never founds one, whoever it hears.
func TestEmptyVMDoesNotBootstrap(t *testing.T) {
	in := newInstallation(t, 3, 0)
	in.publish("control-0", 3)
	in.waitForVersion(3)
	for _, name := range []string{"control-1", "control-2"} {
		in.processes[name].stop()
	}
	in.restart("control-0", t.TempDir())
	_, err := in.read("control-0")
	assert.Equal(t, result.CodeOf(err), result.NoQuorum, "%v", err)
	delete(in.processes, "control-1")
	delete(in.processes, "control-2")
}

func TestNewVMReplacesLostVoter(t *testing.T) {
	in := newInstallation(t, 3, 1)
	in.publish("control-0", 1)
	in.processes["control-2"].stop()
	delete(in.processes, "control-2")
	in.listen("control-9", "127.0.0.1:0")
	in.start("control-9", t.TempDir(), false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !in.processes["control-9"].cluster.IsVoter() {
			return poll.Continue("it does not vote yet")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	// Another one may be lost now.
	in.processes["control-1"].stop()
	delete(in.processes, "control-1")
	in.publish("control-9", 2)
	in.waitForVersion(2)
}

func TestReadFailsInTimeWithoutQuorum(t *testing.T) {
	in := newInstallation(t, 3, 0)
	in.publish("control-0", 1)
	in.processes["control-1"].stop()
	in.processes["control-2"].stop()
	delete(in.processes, "control-1")
	delete(in.processes, "control-2")
	start := time.Now()
	_, err := in.read("control-0")
	assert.Equal(t, result.CodeOf(err), result.NoQuorum, "%v", err)
	assert.Assert(t, time.Since(start) < 1500*time.Millisecond)
}
