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
	// leaderPollInterval is the time between two looks for a leader.
	leaderPollInterval = 40 * time.Millisecond
	// callTimeout bounds one call to a leader before it is tried again; a
	// leader that was cut off must not use up all the time of a caller.
	callTimeout = 350 * time.Millisecond
	// forwardTimeout bounds a forwarded call at the leader.
	forwardTimeout = 2 * time.Second
)

// Submit runs a command through the log, wherever its leader is. A command may
// be sent again; so a try that fails is followed by another until ctx ends.
func (c *Cluster) Submit(ctx context.Context, command replica.Command) (replica.RoutesOutcome, error) {
	var out replica.RoutesOutcome
	err := c.retryWithLeader(ctx, func(ctx context.Context, leader string) error {
		outcome, err := c.submitTo(ctx, leader, command)
		if err != nil {
			return err
		}
		routes, ok := outcome.(replica.RoutesOutcome)
		if !ok {
			return result.New(result.Internal, "the log gave another outcome than that of routes")
		}
		out = routes
		return nil
	})
	return out, err
}

// Read returns the routes as a quorum confirms them after the call began.
func (c *Cluster) Read(ctx context.Context) (replica.Routes, error) {
	var out replica.Routes
	err := c.retryWithLeader(ctx, func(ctx context.Context, leader string) error {
		routes, err := c.readFrom(ctx, leader)
		out = routes
		return err
	})
	return out, err
}

// retryWithLeader calls a function with the leader until it succeeds or ctx ends.
func (c *Cluster) retryWithLeader(ctx context.Context, attempt func(ctx context.Context, leader string) error) error {
	err := result.New(result.NoQuorum, "no leader is known")
	for {
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

// leader returns the address of the leader as this VM's replica knows it.
func (c *Cluster) leader() string {
	if c.control == nil {
		return ""
	}
	if leader := c.control.Status().Leader(); leader != "" {
		return leader
	}
	// A replica that has not been taken in yet asks those that are.
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

func (c *Cluster) submitTo(ctx context.Context, leader string, command replica.Command) (replica.Outcome, error) {
	if leader == c.self.address {
		return c.control.Propose(ctx, command)
	}
	payload, err := c.call(ctx, leader, func(number uint64) peer.Message {
		return peer.NewForward(number, replica.EncodeCommand(command))
	})
	if err != nil {
		return nil, err
	}
	return replica.DecodeOutcome(payload)
}

func (c *Cluster) readFrom(ctx context.Context, leader string) (replica.Routes, error) {
	if leader == c.self.address {
		return c.control.Read(ctx)
	}
	payload, err := c.call(ctx, leader, func(number uint64) peer.Message { return peer.NewRead(number) })
	if err != nil {
		return replica.Routes{}, err
	}
	dec := frame.NewDecoder(payload)
	routes := replica.DecodeRoutes(dec)
	return routes, dec.Err()
}

// call sends a message to the leader and waits for its reply.
func (c *Cluster) call(ctx context.Context, leader string, message func(number uint64) peer.Message) ([]byte, error) {
	number, reply := c.calls.Open()
	defer c.calls.Close(number)
	if !c.send(leader, message(number)) {
		return nil, result.New(result.NoQuorum, "there is no link to the leader %s", leader)
	}
	select {
	case payload := <-reply:
		if len(payload) == 0 {
			return nil, result.New(result.NoQuorum, "the leader %s could not take the call", leader)
		}
		return payload, nil
	case <-ctx.Done():
		return nil, result.New(result.NoQuorum, "the leader %s did not answer", leader)
	}
}

// forwardedCommand is a command that another VM sent here as to the leader.
type forwardedCommand struct {
	cluster *Cluster
	session *session.Session
	message peer.Forward
}

func (f *forwardedCommand) run() {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	f.session.Send(peer.Encode(peer.NewReply(f.message.Number(), f.encodedOutcome(ctx))))
}

// encodedOutcome returns the encoded outcome, or nothing where there is none.
func (f *forwardedCommand) encodedOutcome(ctx context.Context) []byte {
	if f.cluster.control == nil {
		return nil
	}
	command, err := replica.DecodeCommand(f.message.Payload())
	if err != nil {
		f.cluster.log.Warn("a forwarded change can't be read", logsink.Cause(err))
		return nil
	}
	outcome, err := f.cluster.control.Propose(ctx, command)
	if err != nil {
		f.cluster.log.Info("a forwarded change was not accepted", logsink.Cause(err))
		return nil
	}
	return replica.EncodeOutcome(outcome)
}

// forwardedRead is a read that another VM sent here as to the leader.
type forwardedRead struct {
	cluster *Cluster
	session *session.Session
	number  uint64
}

func (f *forwardedRead) run() {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	f.session.Send(peer.Encode(peer.NewReply(f.number, f.encodedRoutes(ctx))))
}

func (f *forwardedRead) encodedRoutes(ctx context.Context) []byte {
	if f.cluster.control == nil {
		return nil
	}
	routes, err := f.cluster.control.Read(ctx)
	if err != nil {
		f.cluster.log.Info("a forwarded read was not confirmed", logsink.Cause(err))
		return nil
	}
	enc := frame.NewEncoder()
	replica.EncodeRoutes(enc, routes)
	return enc.Payload()
}
