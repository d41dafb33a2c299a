package standin

import (
	"context"
	"slices"
	"sync"
)

// Faults holds the faults that are switched on.
type Faults struct {
	mu      sync.Mutex
	armed   []FaultSwitch
	changed chan struct{} // closed by Clear: ends what a fault holds back
	frozen  bool
	freeze  func(frozen bool) // told of every change, may be nil
}

func newFaults(freeze func(bool)) *Faults {
	return &Faults{changed: make(chan struct{}), freeze: freeze}
}

// Set switches a fault on. Several may be on at a time; each request meets the
// oldest one.
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

// Clear switches all faults off and lets go what they hold back.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.armed = nil
	f.setFrozen(false)
	close(f.changed)
	f.changed = make(chan struct{})
}

// List returns the faults that are on.
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

// take returns the fault that the next request meets; its zero value is none.
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

// untilCleared waits until the faults are cleared or ctx ends.
func (f *Faults) untilCleared(ctx context.Context) {
	f.mu.Lock()
	changed := f.changed
	f.mu.Unlock()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// whileFrozen returns once the stand-in is not frozen.
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
