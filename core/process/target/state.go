// Package target records the state of each target as seen by this VM, how many
// sub-requests may be sent to it now, and how it compares with the other
// targets of its service.
package target

import (
	"context"

	"github.com/looplab/fsm"
)

// The states of a target.
const (
	// Unknown: neither a probe nor a peer has shown that the leaf is running.
	Unknown = "unknown"
	// Cold: sub-requests are limited to this VM's share of the cold capacity,
	// which is the number of sub-requests a second that the leaf can handle
	// from all VMs together while it is cold.
	Cold = "cold"
	// Warming: sub-requests are limited to an allowance that grows.
	Warming = "warming"
	// Warm: sub-requests are limited by the number of connections, and to one
	// at a time from each VM while the leaf is full, but not by an allowance.
	Warm = "warm"
	// Leaving: the leaf is shutting down and receives no sub-requests.
	Leaving = "leaving"
	// Gone: the target is no longer in the configuration.
	Gone = "gone"
)

// The events that change the state of a target.
const (
	// eventFound: a probe succeeded, or a peer reported the leaf.
	eventFound = "found"
	// eventFirstSuccess: a sub-request succeeded and the allowance may grow, or
	// a peer reported a rate that the leaf has served.
	eventFirstSuccess = "success"
	// eventProvenWarm: the allowance has doubled often enough, or a peer
	// reported the leaf as warm.
	eventProvenWarm = "proven"
	// eventTurnCold: the leaf or a peer reported that the leaf is cold, or this
	// VM inferred it from sub-requests.
	eventTurnCold = "fall"
	// eventLeave: the leaf, a peer or the platform reported that the leaf is
	// shutting down.
	eventLeave = "leave"
	// eventRemoved: the configuration no longer contains the leaf.
	eventRemoved = "removed"
	// eventRestart: the leaf reported a start id other than the known one, or
	// its first one.
	eventRestart = "restart"
)

// stateMachine is the single transition table that all targets share. A target
// therefore stores only its state and not a state machine of its own. For each
// event, nextState sets the machine to the state of the target, applies the
// event and reads the new state. The caller of nextState holds
// Table.stateMachineMu.
type stateMachine struct {
	fsm *fsm.FSM
}

func newStateMachine() *stateMachine {
	return &stateMachine{fsm: fsm.NewFSM(Unknown, fsm.Events{
		{Name: eventFound, Src: []string{Unknown}, Dst: Cold},
		{Name: eventFirstSuccess, Src: []string{Cold}, Dst: Warming},
		{Name: eventProvenWarm, Src: []string{Cold, Warming, Unknown}, Dst: Warm},
		{Name: eventTurnCold, Src: []string{Warming, Warm}, Dst: Cold},
		{Name: eventLeave, Src: []string{Unknown, Cold, Warming, Warm}, Dst: Leaving},
		{Name: eventRemoved, Src: []string{Unknown, Cold, Warming, Warm, Leaving}, Dst: Gone},
		{Name: eventRestart, Src: []string{Unknown, Cold, Warming, Warm, Leaving, Gone}, Dst: Cold},
	}, nil)}
}

// nextState returns the state that follows the event, or the same state if the
// event has no effect in it. A leaving target, for example, stays leaving
// whatever succeeds on it, until a new start id shows that the leaf has
// restarted.
func (m *stateMachine) nextState(state, event string) string {
	m.fsm.SetState(state)
	if !m.fsm.Can(event) {
		return state
	}
	// Can has shown that the event is valid. Event also fails if the state does
	// not change, which needs no handling.
	_ = m.fsm.Event(context.Background(), event)
	return m.fsm.Current()
}
