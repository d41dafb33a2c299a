package supervise

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/binding"
	"celeryport/clock"
	"celeryport/event"
)

// member is a component that was started.
type member struct {
	component Component
	group     *Group
	ctx       context.Context
	cancel    context.CancelFunc
	requested atomic.Bool   // its stop was requested
	ended     chan struct{} // closed when it runs no more
	opened    bool          // its I/O has been open before
}

// run runs the component until it is stopped or the instance has to go on without it.
func (m *member) run() {
	defer close(m.ended)
	var pause time.Duration
	for {
		ran, err := m.runOnce(pause > 0)
		if m.requested.Load() {
			m.reportStop(err)
			return
		}
		var refusal *binding.Refusal
		decision := Decide(Ending{
			Kind:      m.component.Kind,
			Stopping:  m.group.stopping.Load(),
			Refused:   errors.As(err, &refusal),
			Opened:    m.opened,
			Ran:       ran,
			LastPause: pause,
		})
		m.reportEnd(err, decision)
		if decision.Step == StopInstance {
			m.group.fail(&Failure{Component: m.component.Name, Err: err})
		}
		if decision.Step != Reopen || !clock.Pause(m.ctx, decision.Pause) {
			return
		}
		pause = decision.Pause
	}
}

// runOnce opens the I/O of the component and works until it ends. It returns how long the I/O was
// open.
func (m *member) runOnce(again bool) (time.Duration, error) {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel() // ends what the component has started
	if m.component.Open != nil {
		if err := m.component.Open(ctx); err != nil {
			return 0, err
		}
	}
	m.opened = true
	if again {
		eventReopened.Log(m.group.log, event.Fields{"component": m.component.Name})
	}
	began := time.Now()
	err := m.component.Run(ctx)
	return time.Since(began), err
}

// stop asks the component to end and reports whether it did in time. When limit ends, it gets no
// more time than lastWait.
func (m *member) stop(limit context.Context) (inTime bool, err error) {
	m.requested.Store(true)
	own, cancel := context.WithTimeout(limit, m.component.stopTimeout())
	defer cancel()
	stopped := make(chan error, 1)
	go func() {
		var err error
		if m.component.Stop != nil {
			err = m.component.Stop(own)
		}
		m.cancel()
		<-m.ended
		stopped <- err
	}()
	select {
	case err := <-stopped:
		return true, err
	case <-own.Done():
	}
	m.cancel()
	select {
	case err := <-stopped:
		return true, err
	case <-time.After(lastWait):
		return false, nil
	}
}

func (m *member) reportEnd(err error, d Decision) {
	fields := event.Fields{"component": m.component.Name, "then": d.Step}
	if err != nil {
		fields["error"] = err
	}
	if d.Step == Reopen {
		fields["pause_ms"] = d.Pause.Milliseconds()
	}
	eventEnded.Log(m.group.log, fields)
}

func (m *member) reportStop(err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		eventStopFailed.Log(m.group.log, event.Fields{"component": m.component.Name, "error": err})
	}
}
