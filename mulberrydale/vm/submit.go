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
	// submitRetryInterval is the pause between two attempts to submit a command.
	submitRetryInterval = 50 * time.Millisecond
	// submitAttemptTimeout limits one attempt, after which the command is sent again.
	submitAttemptTimeout = 2 * time.Second
)

// Submit commits a command to the replicated log and returns its outcome. The
// command is forwarded if another VM is the leader. Commands are idempotent: a change
// is identified by its id, a claim and its result by the request id and the holder.
// A failed attempt is therefore repeated until ctx ends. The error is then NoQuorum.
func (v *VM) Submit(ctx context.Context, command replica.Command) (replica.Outcome, error) {
	for {
		outcome, err := v.submitOnce(ctx, command)
		if err == nil {
			return outcome, nil
		}
		select {
		case <-time.After(submitRetryInterval):
		case <-ctx.Done():
			return nil, result.New(result.NoQuorum, "the command was not committed by a quorum of the control VMs in time")
		}
	}
}

// submitOnce makes one attempt to commit a command: on this VM if it is the leader,
// otherwise through the leader it knows. After an error the command may still have
// been committed.
func (v *VM) submitOnce(ctx context.Context, command replica.Command) (replica.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, submitAttemptTimeout)
	defer cancel()
	leader := v.leader()
	if v.control != nil && leader == v.settings.VM() {
		return v.control.Propose(ctx, command)
	}
	number, reply := v.calls.Start()
	defer v.calls.Cancel(number)
	if !v.mesh.Send(leader, peer.NewForwardedCommand(number, replica.EncodeCommand(command))) {
		return nil, result.New(result.NoQuorum, "no leader is known, or the send queue to it is full")
	}
	select {
	case payload := <-reply:
		if len(payload) == 0 {
			return nil, result.New(result.NoQuorum, "the leader did not commit the command")
		}
		return replica.DecodeOutcome(payload)
	case <-ctx.Done():
		return nil, result.New(result.NoQuorum, "the leader did not reply in time")
	}
}

// leader returns the name of the VM that is the leader of the replicated log,
// empty if none is known. A control VM asks its own replica; other VMs use the last
// heartbeats of the control VMs that are alive (membership.VM.Alive).
func (v *VM) leader() string {
	if v.control != nil {
		return v.control.Status().Leader()
	}
	now := time.Now()
	for _, vm := range v.view.VMs() {
		if leader := vm.LastHeartbeat().Leader(); vm.Alive(now) && leader != "" {
			return leader
		}
	}
	return ""
}

// Claim claims a request id for a holder through the replicated log, which keeps
// the claim for the duration keep. The error is NoQuorum if the command was not
// committed before ctx ended, and NoClaim if its outcome is of another kind or has no
// answer to the claim.
func (v *VM) Claim(ctx context.Context, id, holder string, keep time.Duration) (claim.Outcome, error) {
	outcome, err := v.Submit(ctx, replica.NewClaim(id, holder, keep))
	if err != nil {
		return nil, err
	}
	claimOutcome, ok := outcome.(replica.ClaimOutcome)
	if !ok || claimOutcome.Answer() == nil {
		return nil, result.New(result.NoClaim, "the replicated log returned no outcome for the claim")
	}
	return claimOutcome.Answer(), nil
}

// Settle records the result code and the body of a claimed request in the replicated
// log. The error is NoQuorum if the command was not committed before ctx ended.
func (v *VM) Settle(ctx context.Context, id, holder string, code result.Code, body []byte) error {
	_, err := v.Submit(ctx, replica.NewSettle(id, holder, code, body))
	return err
}
