package cluster_test

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/quota"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// decodeTestTeams returns the team "limited" with the rate and the burst that the document
// states, and none for any other document.
func decodeTestTeams(document []byte) ([]routing.Team, error) {
	var rate, burst float64
	if _, err := fmt.Sscanf(string(document), "rate %g burst %g", &rate, &burst); err != nil {
		return nil, nil
	}
	return []routing.Team{routing.NewTeam("limited", nil, 0).WithQuota(rate, burst)}, nil
}

// quotaCaller sends requests of the team through one VM.
type quotaCaller struct {
	process *process
	pause   time.Duration
	mu      sync.Mutex
	taken   []time.Time
	refused int
	// unavailable counts the requests without a token or an owner.
	unavailable int
	group       *sync.WaitGroup
}

func (c *quotaCaller) run(ctx context.Context) {
	defer c.group.Done()
	for ctx.Err() == nil {
		decision := c.process.cluster.Tokens().Take("limited", 50*time.Millisecond, ctx.Done())
		c.mu.Lock()
		switch d := decision.(type) {
		case quota.Taken:
			c.process.cluster.Tokens().Spend(d.Token())
			c.taken = append(c.taken, time.Now())
		case quota.Refused:
			c.refused++
		case quota.Unavailable:
			c.unavailable++
		}
		c.mu.Unlock()
		time.Sleep(c.pause)
	}
}

// leader returns the name of a control VM whose replica is the leader, or "" if none is.
func (in *installation) leader() string {
	for name, p := range in.processes {
		if p.folder != "" && p.cluster.Leads() {
			return name
		}
	}
	return ""
}

// Tokens of a leader that has just ended are still in use when the next one grants its own,
// so that a team could get twice its quota.
func TestQuotaHoldsWhileTheLeaderChanges(t *testing.T) {
	in := newInstallation(t, 3, 3)
	in.publishDocument("control-0", 1, []byte("rate 40 burst 20"))
	in.waitForVersion(1)
	var group sync.WaitGroup
	var callers []*quotaCaller
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n := range 3 {
		c := &quotaCaller{process: in.processes[fmt.Sprintf("entry-%d", n)], pause: 10 * time.Millisecond, group: &group}
		callers = append(callers, c)
		group.Add(1)
		go c.run(ctx)
	}
	time.Sleep(6 * time.Second)
	leader := in.leader()
	assert.Assert(t, strings.HasPrefix(leader, "control"), "no leader")
	in.processes[leader].stop()
	stoppedAt := time.Now()
	time.Sleep(8 * time.Second)
	cancel()
	group.Wait()
	var taken []time.Time
	refused, unavailable := 0, 0
	for _, c := range callers {
		taken = append(taken, c.taken...)
		refused += c.refused
		unavailable += c.unavailable
	}
	sort.Slice(taken, func(i, j int) bool { return taken[i].Before(taken[j]) })
	worst, first, after := 0, 0, 0
	for last, at := range taken {
		for at.Sub(taken[first]) > 5*time.Second {
			first++
		}
		worst = max(worst, last-first+1)
		if at.Sub(stoppedAt) > 4*time.Second {
			after++
		}
	}
	t.Logf("taken %d, refused %d, unavailable %d, worst window %d of 262, %d taken from 4 s after the leader stopped", len(taken), refused, unavailable, worst, after)
	assert.Assert(t, worst <= 262, "%d requests in a window", worst)
	assert.Assert(t, refused > 0)
	// 4 s at 40 a second, less what a busy machine costs.
	assert.Assert(t, after > 80, "the next leader granted %d tokens", after)
	in.restart(leader, in.processes[leader].folder)
}

// A VM without a leader can't know whether a team has quota left and must not say that it
// has none.
func TestNoTokensWithoutALeader(t *testing.T) {
	in := newInstallation(t, 3, 1)
	in.publishDocument("control-0", 1, []byte("rate 40 burst 20"))
	in.waitForVersion(1)
	tokens := in.processes["entry-0"].cluster.Tokens()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, ok := tokens.Take("limited", 100*time.Millisecond, nil).(quota.Taken); ok {
			return poll.Success()
		}
		return poll.Continue("no token")
	}, poll.WithTimeout(10*time.Second))
	for n := range 3 {
		in.processes[fmt.Sprintf("control-%d", n)].stop()
	}
	// The stock expires.
	time.Sleep(quota.StockLifetime)
	_, ok := tokens.Take("limited", 100*time.Millisecond, nil).(quota.Unavailable)
	assert.Assert(t, ok)
	for n := range 3 {
		name := fmt.Sprintf("control-%d", n)
		in.listen(name, in.processes[name].address)
		in.start(name, in.processes[name].folder, false)
	}
}

// rawPeer is an entry VM that has a session to one control VM only.
type rawPeer struct {
	grants chan quota.Grant
	ask    quota.Ask
}

func (p *rawPeer) Opened(s *session.Session, _ time.Time) {
	s.Send(peer.Encode(peer.NewPresence("raw", "", "dc-1", "s", 0)))
	s.Send(peer.Encode(peer.NewTokenRequest(p.ask)))
}

func (p *rawPeer) Received(_ *session.Session, payload []byte, _ time.Time) {
	if m, err := peer.Decode(payload); err == nil {
		if grant, ok := m.(peer.TokenGrant); ok {
			p.grants <- grant.Grant()
		}
	}
}

func (p *rawPeer) Closed(*session.Session, time.Time) {}

// dialRun runs the dialer of a rawPeer.
type dialRun struct{ dialer *session.Dialer }

func (d *dialRun) run(ctx context.Context) { d.dialer.Run(ctx) }

// A VM that reaches most control VMs but not the leader would get no tokens.
func TestTokensAreGrantedThroughAnotherControlVM(t *testing.T) {
	in := newInstallation(t, 3, 0)
	in.publishDocument("control-0", 1, []byte("rate 40 burst 20"))
	in.waitForVersion(1)
	leader := in.leader()
	var other string
	for name := range in.processes {
		if name != leader {
			other = name
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &rawPeer{grants: make(chan quota.Grant, 16), ask: quota.NewAsk(1, 0, 0, []quota.TeamAsk{quota.NewTeamAsk("limited", 0, 0, 1, 0)})}
	go (&dialRun{dialer: session.NewDialer(in.processes[other].address, p)}).run(ctx)
	select {
	case grant := <-p.grants:
		assert.Equal(t, grant.Ask(), uint64(1))
		assert.Equal(t, grant.Teams()[0].Immediate(), 1)
	case <-time.After(10 * time.Second):
		t.Fatal("no grant")
	}
}
