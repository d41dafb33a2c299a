package entry

import "sync/atomic"

// drainPhase is the phase of a graceful shutdown.
type drainPhase int32

const (
	phaseServing  drainPhase = iota
	phaseDelisted            // no longer listed in GET /v1/addresses, still accepting requests
	phaseRefusing            // refusing new requests, finishing those in flight
)

// drainState holds the phase. Every request reads it.
type drainState struct {
	phase atomic.Int32
}

func (d *drainState) set(p drainPhase) { d.phase.Store(int32(p)) }

func (d *drainState) started() bool { return drainPhase(d.phase.Load()) != phaseServing }

func (d *drainState) refusing() bool { return drainPhase(d.phase.Load()) == phaseRefusing }
