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

// listing is a target list that can be changed and made to fail.
type listing struct {
	mu        sync.Mutex
	instances []discovery.Instance
	readings  int
	broken    bool
}

// unreadable is a target list that can't be reached from a VM.
type unreadable struct{}

func (unreadable) Read(context.Context) ([]discovery.Instance, error) {
	return nil, result.New(result.Unreachable, "unreadable")
}

func (l *listing) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readings
}

func (l *listing) Read(context.Context) ([]discovery.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readings++
	if l.broken {
		return nil, result.New(result.Unreachable, "broken")
	}
	return l.instances, nil
}

func (l *listing) set(ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = nil
	for _, id := range ids {
		l.instances = append(l.instances, discovery.NewInstance(id, "s", "10.0.0.1:1", "dc-1", 1))
	}
}

// observer keeps what a process was told.
type observer struct {
	mu      sync.Mutex
	routes  replica.Routes
	list    discovery.List
	fell    bool
	changes int
}

func (o *observer) RoutesChanged(routes replica.Routes, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fell = o.fell || routes.Version() < o.routes.Version()
	o.routes = routes
	o.changes++
}

func (o *observer) TargetsChanged(list discovery.List, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = list
}

func (o *observer) version() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.routes.Version()
}

func (o *observer) targets() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.list.Instances())
}

// member is one process of a test installation.
type member struct {
	name     string
	address  string
	folder   string
	cluster  *cluster.Cluster
	observer *observer
	cancel   context.CancelFunc
	done     chan struct{}
}

// runner runs a member's links.
type runner struct {
	member *member
	socket net.Listener
}

func (r *runner) run(ctx context.Context) {
	defer close(r.member.done)
	r.member.cluster.Run(ctx, r.socket)
}

// installation is control VMs and entry VMs on loopback.
type installation struct {
	t       *testing.T
	list    *listing
	seeds   []string
	sockets map[string]net.Listener
	members map[string]*member
	// onlyControlsRead keeps entry VMs that start from reading the list.
	onlyControlsRead bool
}

func newInstallation(t *testing.T, controls, entries int) *installation {
	in := &installation{t: t, list: &listing{}, sockets: make(map[string]net.Listener), members: make(map[string]*member)}
	in.list.set("i-1")
	var names []string
	for n := range controls {
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
	for n := range entries {
		in.start(fmt.Sprintf("entry-%d", n), "", true)
	}
	t.Cleanup(func() {
		for _, m := range in.members {
			m.stop()
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
func (in *installation) start(name, folder string, first bool) *member {
	in.t.Helper()
	m := &member{name: name, folder: folder, observer: &observer{}, done: make(chan struct{})}
	socket := in.sockets[name]
	if socket != nil {
		m.address = socket.Addr().String()
	}
	identity := cluster.NewIdentity(name, m.address, "dc-1", name, first)
	var reader cluster.ListReader = in.list
	if folder == "" && in.onlyControlsRead {
		reader = unreadable{}
	}
	m.cluster = cluster.New(identity, in.seeds, reader, m.observer, zap.NewNop())
	if folder != "" {
		assert.NilError(in.t, m.cluster.KeepLog(folder, 3, time.Now()))
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go (&runner{member: m, socket: socket}).run(ctx)
	in.members[name] = m
	return m
}

func (m *member) stop() {
	m.cancel()
	<-m.done
}

// restart stops a control VM and starts it at its address, with the folder.
func (in *installation) restart(name, folder string) {
	in.t.Helper()
	m := in.members[name]
	m.stop()
	in.listen(name, m.address)
	in.start(name, folder, false)
}

func (in *installation) publish(through string, version uint64) {
	in.t.Helper()
	document := fmt.Appendf(nil, "version %d", version)
	poll.WaitOn(in.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := in.members[through].cluster.Submit(ctx, replica.NewPublishRoutes(version, document)); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

func (in *installation) expectVersion(version uint64) {
	in.t.Helper()
	for _, m := range in.members {
		poll.WaitOn(in.t, func(poll.LogT) poll.Result {
			if got := m.observer.version(); got != version {
				return poll.Continue("%s is at version %d instead of %d", m.name, got, version)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
}

func (in *installation) read(through string) (replica.Routes, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return in.members[through].cluster.Read(ctx)
}

func TestAVersionIsInForceEverywhere(t *testing.T) {
	in := newInstallation(t, 4, 2)
	in.publish("control-3", 7)
	in.expectVersion(7)
	// An older version that arrives again is acknowledged and changes nothing.
	in.publish("control-0", 5)
	in.publish("control-1", 7)
	for name := range in.members {
		if routes, err := in.read(name); in.members[name].folder != "" {
			assert.NilError(t, err)
			assert.Equal(t, routes.Version(), uint64(7))
			assert.Equal(t, string(routes.Document()), "version 7")
		}
	}
	in.publish("control-2", 9)
	in.expectVersion(9)
}

func TestTargetsReachAllVMsThroughOneReader(t *testing.T) {
	in := newInstallation(t, 3, 3)
	in.list.set("i-1", "i-2")
	expect := func(n int) {
		t.Helper()
		for _, m := range in.members {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if m.observer.targets() != n {
					return poll.Continue("%s has %d targets", m.name, m.observer.targets())
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
		}
	}
	expect(2)
	in.list.set("i-2", "i-3", "i-4")
	expect(3)
	// The reader is gone: another one takes over.
	in.list.set("i-5")
	for _, name := range []string{"control-0", "control-1"} {
		in.members[name].stop()
		delete(in.members, name)
	}
	expect(1)
}

func TestAVMThatLostItsDiskJoinsAgain(t *testing.T) {
	in := newInstallation(t, 3, 1)
	in.publish("control-0", 1)
	in.expectVersion(1)
	for n, name := range []string{"control-0", "control-1", "control-2"} {
		in.restart(name, t.TempDir())
		in.publish(name, uint64(n+2))
		in.expectVersion(uint64(n + 2))
		// Its repair is over once it counts as a voter.
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !in.members[name].cluster.Votes() {
				return poll.Continue("%s does not vote yet", name)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
}

func TestAllRestartAndNothingIsLost(t *testing.T) {
	in := newInstallation(t, 3, 1)
	in.publish("control-1", 12)
	in.expectVersion(12)
	for _, m := range in.members {
		m.stop()
	}
	for name, m := range in.members {
		if m.folder == "" {
			in.start(name, "", false)
			continue
		}
		in.listen(name, m.address)
		in.start(name, m.folder, false)
	}
	in.expectVersion(12)
}

// All control VMs restart and count their readings from the start; entry VMs,
// which know a high number, must follow their new list at once.
func TestEntryVMsFollowControlVMsThatRestarted(t *testing.T) {
	const before, most = 8, 5
	in := newInstallation(t, 3, 0)
	in.onlyControlsRead = true
	entry := in.start("entry-0", "", true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := in.list.count(); n < before || entry.observer.targets() != 1 {
			return poll.Continue("%d readings", n)
		}
		return poll.Success()
	}, poll.WithTimeout(40*time.Second), poll.WithDelay(20*time.Millisecond))
	controls := []string{"control-0", "control-1", "control-2"}
	for _, name := range controls {
		in.members[name].stop()
	}
	in.list.set("i-2", "i-3")
	for _, name := range controls {
		m := in.members[name]
		in.listen(name, m.address)
		in.start(name, m.folder, false)
	}
	from := in.list.count()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if entry.observer.targets() != 2 {
			return poll.Continue("the entry VM keeps its old list")
		}
		return poll.Success()
	}, poll.WithTimeout(40*time.Second), poll.WithDelay(20*time.Millisecond))
	// Each of the three may read once before it hears of the others.
	readings := in.list.count() - from
	assert.Assert(t, readings <= most, "it took %d readings", readings)
}

// A VM without a log that starts later never founds one, whoever it hears.
func TestAnEmptyVMFoundsNothing(t *testing.T) {
	in := newInstallation(t, 3, 0)
	in.publish("control-0", 3)
	in.expectVersion(3)
	for _, name := range []string{"control-1", "control-2"} {
		in.members[name].stop()
	}
	in.restart("control-0", t.TempDir())
	_, err := in.read("control-0")
	assert.Equal(t, result.CodeOf(err), result.NoQuorum, "%v", err)
	delete(in.members, "control-1")
	delete(in.members, "control-2")
}

func TestAVMAtANewAddressReplacesOneThatIsGone(t *testing.T) {
	in := newInstallation(t, 3, 1)
	in.publish("control-0", 1)
	in.members["control-2"].stop()
	delete(in.members, "control-2")
	in.listen("control-9", "127.0.0.1:0")
	in.start("control-9", t.TempDir(), false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !in.members["control-9"].cluster.Votes() {
			return poll.Continue("it does not vote yet")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	// Another one may be lost now.
	in.members["control-1"].stop()
	delete(in.members, "control-1")
	in.publish("control-9", 2)
	in.expectVersion(2)
}

func TestAReadWithoutAQuorumIsRefusedInTime(t *testing.T) {
	in := newInstallation(t, 3, 0)
	in.publish("control-0", 1)
	in.members["control-1"].stop()
	in.members["control-2"].stop()
	delete(in.members, "control-1")
	delete(in.members, "control-2")
	began := time.Now()
	_, err := in.read("control-0")
	assert.Equal(t, result.CodeOf(err), result.NoQuorum, "%v", err)
	assert.Assert(t, time.Since(began) < 1500*time.Millisecond)
}
