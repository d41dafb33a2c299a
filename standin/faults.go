package standin

import (
	"context"
	"slices"
	"sync"
)

// Faults holds the enabled faults of a stand-in.
type Faults struct {
	mu      sync.Mutex
	armed   []FaultSwitch
	changed chan struct{} // closed by Clear, which resumes the calls blocked by a fault
	frozen  bool
	freeze  func(frozen bool) // called on every change of frozen; may be nil
}

func newFaults(freeze func(bool)) *Faults {
	return &Faults{changed: make(chan struct{}), freeze: freeze}
}

// Set enables a fault. Several faults may be enabled at a time; each request is
// subject to the one that was enabled first. FaultFreeze takes effect immediately and
// applies in addition to the others.
func (f *Faults) Set(s FaultSwitch) error {
	if !s.Fault.known() {
		return ErrUnknownFault
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Fault == FaultFreeze {
		f.setFrozen(true)
		return nil
	}
	f.armed = append(f.armed, s)
	return nil
}

// Clear disables all faults and resumes the calls blocked by them.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.armed = nil
	f.setFrozen(false)
	close(f.changed)
	f.changed = make(chan struct{})
}

// List returns the enabled faults.
func (f *Faults) List() []FaultSwitch {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := slices.Clone(f.armed)
	if f.frozen {
		list = append(list, FaultSwitch{Fault: FaultFreeze})
	}
	return list
}

func (f *Faults) setFrozen(frozen bool) {
	if f.frozen == frozen {
		return
	}
	f.frozen = frozen
	if f.freeze != nil {
		f.freeze(frozen)
	}
}

// take returns the fault for the next request and counts it as used. The zero value
// means no fault.
func (f *Faults) take() FaultSwitch {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.armed) == 0 {
		return FaultSwitch{}
	}
	s := f.armed[0]
	if s.Times == 1 {
		f.armed = f.armed[1:]
	} else if s.Times > 1 {
		f.armed[0].Times--
	}
	return s
}

// untilCleared blocks until the faults are cleared or ctx ends.
func (f *Faults) untilCleared(ctx context.Context) {
	f.mu.Lock()
	changed := f.changed
	f.mu.Unlock()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// whileFrozen blocks while the stand-in is frozen and ctx has not ended.
func (f *Faults) whileFrozen(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		frozen, changed := f.frozen, f.changed
		f.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
