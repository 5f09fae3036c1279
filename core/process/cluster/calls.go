package cluster

import (
	"context"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// leaderPollInterval is the pause between two attempts to call a leader.
	leaderPollInterval = 40 * time.Millisecond
	// callTimeout bounds one call to a leader before it is retried. Without it,
	// a leader that is partitioned from this VM would use up the whole time of
	// the caller.
	callTimeout = 350 * time.Millisecond
	// forwardTimeout bounds the processing of a forwarded call at the leader.
	forwardTimeout = 2 * time.Second
)

// Submit commits a command to the replicated log through its leader, on whichever
// VM that is, and returns the outcome, which must be a replica.RoutesOutcome.
// Commands are safe to send more than once, so failed attempts are retried until ctx
// ends. The error is that of the last attempt: NoQuorum if no leader was known, and
// Internal for an outcome of another type.
func (c *Cluster) Submit(ctx context.Context, command replica.Command) (replica.RoutesOutcome, error) {
	return submit[replica.RoutesOutcome](ctx, c, command)
}

// submit is Submit for a command whose outcome is of type T.
func submit[T replica.Outcome](ctx context.Context, c *Cluster, command replica.Command) (T, error) {
	var out T
	err := c.retryWithLeader(ctx, func(ctx context.Context, leader string) error {
		outcome, err := c.submitTo(ctx, leader, command)
		if err != nil {
			return err
		}
		typed, ok := outcome.(T)
		if !ok {
			return result.New(result.Internal, "the outcome of the command is not of type %T", out)
		}
		out = typed
		return nil
	})
	return out, err
}

// Read returns the routes as of a time after the call began, confirmed by
// a quorum. It retries until ctx ends and then returns the error of the last attempt,
// NoQuorum if no leader was known.
func (c *Cluster) Read(ctx context.Context) (replica.Routes, error) {
	var out replica.Routes
	err := c.retryWithLeader(ctx, func(ctx context.Context, leader string) error {
		routes, err := c.readFrom(ctx, leader)
		out = routes
		return err
	})
	return out, err
}

// retryWithLeader calls attempt with the address of the leader until it succeeds
// or ctx ends. It then returns the last error, NoQuorum if no leader was known.
func (c *Cluster) retryWithLeader(ctx context.Context, attempt func(ctx context.Context, leader string) error) error {
	err := result.New(result.NoQuorum, "no leader is known")
	for {
		if ctx.Err() != nil {
			return err
		}
		if leader := c.leader(); leader != "" {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			err = attempt(callCtx, leader)
			cancel()
			if err == nil {
				return nil
			}
		}
		select {
		case <-time.After(leaderPollInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// leader returns the address of the leader. It is empty on an entry VM and while
// the leader is unknown.
func (c *Cluster) leader() string {
	if c.control == nil {
		return ""
	}
	if leader := c.control.Status().Leader(); leader != "" {
		return leader
	}
	// A replica that has not joined the log yet relies on the presences of
	// other control VMs.
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.sessions {
		if r.alive(now) && r.presence.Leader() != "" {
			return r.presence.Leader()
		}
	}
	return ""
}

// submitTo proposes a command at the leader, locally if this VM is the leader.
func (c *Cluster) submitTo(ctx context.Context, leader string, command replica.Command) (replica.Outcome, error) {
	if leader == c.self.address {
		return c.propose(ctx, command)
	}
	payload, err := c.call(ctx, leader, func(number uint64) peer.Message {
		return peer.NewForwardedCommand(number, replica.EncodeCommand(command))
	})
	if err != nil {
		return nil, err
	}
	return replica.DecodeOutcome(payload)
}

// readFrom reads the routes at the leader, locally if this VM is the leader.
func (c *Cluster) readFrom(ctx context.Context, leader string) (replica.Routes, error) {
	if leader == c.self.address {
		return c.control.Read(ctx)
	}
	payload, err := c.call(ctx, leader, func(number uint64) peer.Message { return peer.NewReadRoutes(number) })
	if err != nil {
		return replica.Routes{}, err
	}
	dec := frame.NewDecoder(payload)
	routes := replica.DecodeRoutes(dec)
	return routes, dec.Err()
}

// call sends a message to the leader and returns the payload of the reply. An
// empty reply means that the leader failed to execute the call.
func (c *Cluster) call(ctx context.Context, leader string, message func(number uint64) peer.Message) ([]byte, error) {
	number, reply := c.calls.Start()
	defer c.calls.Cancel(number)
	if !c.send(leader, message(number)) {
		return nil, result.New(result.NoQuorum, "no session to the leader %s", leader)
	}
	select {
	case payload := <-reply:
		if len(payload) == 0 {
			return nil, result.New(result.NoQuorum, "the leader %s failed to execute the call", leader)
		}
		return payload, nil
	case <-ctx.Done():
		return nil, result.New(result.NoQuorum, "the leader %s did not reply in time", leader)
	}
}

// forwardedCommand is a command that another VM forwarded to this one as the
// leader.
type forwardedCommand struct {
	cluster *Cluster
	session *session.Session
	message peer.ForwardedCommand
}

// run executes the command and sends the reply.
func (f *forwardedCommand) run() {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	f.session.Send(peer.Encode(peer.NewReply(f.message.Number(), f.execute(ctx))))
}

// execute proposes the command and returns its encoded outcome, nil if it failed.
func (f *forwardedCommand) execute(ctx context.Context) []byte {
	if f.cluster.control == nil {
		return nil
	}
	command, err := replica.DecodeCommand(f.message.Payload())
	if err != nil {
		f.cluster.log.Warn("failed to decode a forwarded command", logsink.Cause(err))
		return nil
	}
	outcome, err := f.cluster.propose(ctx, command)
	if err != nil {
		f.cluster.log.Info("forwarded command failed", logsink.Cause(err))
		return nil
	}
	return replica.EncodeOutcome(outcome)
}

// forwardedRead is a read of the routes that another VM forwarded to this one as
// the leader.
type forwardedRead struct {
	cluster *Cluster
	session *session.Session
	number  uint64
	// understandsRollouts is false if the caller runs an earlier version of the program.
	understandsRollouts bool
}

// run executes the read and sends the reply.
func (f *forwardedRead) run() {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	f.session.Send(peer.Encode(peer.NewReply(f.number, f.execute(ctx))))
}

// execute reads the routes from the replicated log and returns them encoded, nil if
// the read failed.
func (f *forwardedRead) execute(ctx context.Context) []byte {
	if f.cluster.control == nil {
		return nil
	}
	routes, err := f.cluster.control.Read(ctx)
	if err != nil {
		f.cluster.log.Info("forwarded read failed", logsink.Cause(err))
		return nil
	}
	if !f.understandsRollouts {
		routes = routes.WithRollouts(nil)
	}
	enc := frame.NewEncoder()
	replica.EncodeRoutes(enc, routes)
	return enc.Payload()
}
