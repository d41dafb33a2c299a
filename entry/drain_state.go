package entry

import "sync/atomic"

// drainPhase is how far a graceful shutdown has come.
type drainPhase int32

const (
	phaseServing  drainPhase = iota
	phaseLeaving             // not handed out any more, still accepting
	phaseRefusing            // refusing new requests, finishing the others
)

// drainState is the phase, read by every request.
type drainState struct {
	phase atomic.Int32
}

func (d *drainState) set(p drainPhase) { d.phase.Store(int32(p)) }

func (d *drainState) started() bool { return drainPhase(d.phase.Load()) != phaseServing }

func (d *drainState) refusing() bool { return drainPhase(d.phase.Load()) == phaseRefusing }
