// Package target keeps what this VM knows of each target: one state machine
// for each, how much it may receive now, and how it compares to its siblings.
package target

import (
	"context"

	"github.com/looplab/fsm"
)

// The states of a target.
const (
	Unknown = "unknown"
	Cold    = "cold"
	Warming = "warming"
	Warm    = "warm"
	Leaving = "leaving"
	Gone    = "gone"
)

// The events of a target.
const (
	eventFound        = "found"
	eventFirstSuccess = "success"
	eventProvenWarm   = "proven"
	eventTurnCold     = "fall"
	eventLeave        = "leave"
	eventRemoved      = "removed"
	eventRestart      = "restart"
)

// machine is the one table of transitions that all targets share. It is set
// to a target's state, fed the event and read back, always under the lock of
// the table, so that a target costs one word and not a machine of its own.
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

// after returns the state that follows, or the same state where the event
// means nothing in it. A leaving target, for example, stays leaving whatever
// succeeds on it; a new start id alone brings it back.
func (m *stateMachine) nextState(state, event string) string {
	m.fsm.SetState(state)
	if !m.fsm.Can(event) {
		return state
	}
	_ = m.fsm.Event(context.Background(), event)
	return m.fsm.Current()
}
