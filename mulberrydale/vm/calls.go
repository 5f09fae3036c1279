package vm

import (
	"context"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/request/claim"
	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// leaderPoll is the time between two looks for a leader.
	leaderPoll = 50 * time.Millisecond
	// callTimeout bounds one call to a leader before it is tried again.
	callTimeout = 2 * time.Second
)

// Submit runs a command through the log, wherever its leader is. Every command
// may be sent again: changes by their id, claims by their holder. So a try
// that fails is followed by another until ctx ends.
func (v *VM) Submit(ctx context.Context, command replica.Command) (replica.Outcome, error) {
	for {
		outcome, err := v.try(ctx, command)
		if err == nil {
			return outcome, nil
		}
		select {
		case <-time.After(leaderPoll):
		case <-ctx.Done():
			return nil, result.New(result.NoQuorum, "no quorum of the control VMs answered in time")
		}
	}
}

func (v *VM) try(ctx context.Context, command replica.Command) (replica.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	leader := v.leader()
	if v.control != nil && leader == v.settings.VM() {
		return v.control.Propose(ctx, command)
	}
	number, reply := v.calls.Start()
	defer v.calls.Cancel(number)
	if !v.mesh.Send(leader, peer.NewForwardedCommand(number, replica.EncodeCommand(command))) {
		return nil, result.New(result.NoQuorum, "no leader is known")
	}
	select {
	case payload := <-reply:
		if len(payload) == 0 {
			return nil, result.New(result.NoQuorum, "the leader could not take the command")
		}
		return replica.DecodeOutcome(payload)
	case <-ctx.Done():
		return nil, result.New(result.NoQuorum, "the leader did not answer")
	}
}

// leader returns the VM that leads the log, by this VM's own role or by the
// word of a control VM that was heard lately.
func (v *VM) leader() string {
	if v.control != nil {
		return v.control.Status().Leader()
	}
	now := time.Now()
	for _, vm := range v.view.VMs() {
		if leader := vm.Beat().Leader(); vm.Alive(now) && leader != "" {
			return leader
		}
	}
	return ""
}

// Claim takes a request id at a quorum.
func (v *VM) Claim(ctx context.Context, id, holder string, keep time.Duration) (claim.Outcome, error) {
	outcome, err := v.Submit(ctx, replica.NewClaim(id, holder, keep))
	if err != nil {
		return nil, err
	}
	c, ok := outcome.(replica.ClaimOutcome)
	if !ok || c.Answer() == nil {
		return nil, result.New(result.NoClaim, "the log gave no answer to a claim")
	}
	return c.Answer(), nil
}

// Settle notes the outcome of a claimed request.
func (v *VM) Settle(ctx context.Context, id, holder string, code result.Code, body []byte) error {
	_, err := v.Submit(ctx, replica.NewSettle(id, holder, code, body))
	return err
}
