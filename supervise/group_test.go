package supervise

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

var errBroken = errors.New("broken")

func newTestGroup() (*Group, *logtest.Hook) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewGroup(log), logtest.NewLocal(log)
}

// logged returns the values of a field in the lines of an event.
func logged(hook *logtest.Hook, number int, field string) []any {
	var values []any
	for _, line := range hook.AllEntries() {
		if line.Data["event"] == number {
			values = append(values, line.Data[field])
		}
	}
	return values
}

// endings records the order in which components end.
type endings struct {
	mu    sync.Mutex
	names []string
}

// component returns one that ends when asked.
func (e *endings) component(name string) Component {
	return Component{Name: name, Run: func(ctx context.Context) error {
		<-ctx.Done()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.names = append(e.names, name)
		return ctx.Err()
	}}
}

// Guards against an instance that stands still, not serving and deaf to signals, after one of its
// components has failed.
func TestFailureOfANeededComponentStopsTheOthersInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group, hook := newTestGroup()
		var ended endings
		stuck, release := context.WithCancel(t.Context())
		group.Start(ended.component("first"))
		group.Start(Component{Name: "stuck", Run: func(context.Context) error {
			<-stuck.Done()
			return nil
		}})
		group.Start(Component{Name: "broken", Run: func(context.Context) error { return errBroken }})
		group.Start(ended.component("last"))
		running, cancel := group.Until(t.Context())
		defer cancel()
		<-running.Done()
		failure := group.Failure()
		if failure == nil || failure.Component != "broken" || !errors.Is(failure, errBroken) {
			t.Fatalf("failure: %v", failure)
		}
		limit, end := context.WithTimeout(t.Context(), time.Minute)
		defer end()
		began := time.Now()
		if err := group.Stop(limit); err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took != DefaultStopTimeout+lastWait {
			t.Errorf("the stop took %s", took)
		}
		if want := []string{"last", "first"}; !slices.Equal(ended.names, want) {
			t.Errorf("ended %v, want %v", ended.names, want)
		}
		if names := logged(hook, eventNotEnded.Number, "component"); !slices.Equal(names, []any{"stuck"}) {
			t.Errorf("logged as not ended: %v", names)
		}
		release()
	})
}

// Guards against an instance that ends, or goes on without an address, because its socket failed.
func TestFailedIOIsOpenedAgainWhileTheOthersGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group, hook := newTestGroup()
		opened, failures := 0, 3
		serving := make(chan struct{})
		group.Start(Component{
			Name: "socket", Kind: Reopened,
			Open: func(context.Context) error {
				opened++
				return nil
			},
			Run: func(ctx context.Context) error {
				if opened <= failures {
					return errBroken
				}
				close(serving)
				<-ctx.Done()
				return nil
			},
		})
		<-serving
		if group.Failure() != nil {
			t.Error(group.Failure())
		}
		if err := group.Stop(t.Context()); err != nil {
			t.Error(err)
		}
		if ends := logged(hook, eventEnded.Number, "error"); !slices.Equal(ends, slices.Repeat([]any{errBroken}, failures)) {
			t.Errorf("logged as ended: %v", ends)
		}
		if again := logged(hook, eventReopened.Number, "component"); len(again) != failures {
			t.Errorf("logged as working again %d times", len(again))
		}
	})
}

// Guards against a request to stop without effect while a component waits for its address.
func TestStopEndsAWaitForAnAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group, hook := newTestGroup()
		group.Start(Component{
			Name: "socket", Kind: Reopened,
			Open: func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			},
			Run: func(context.Context) error { return nil },
		})
		synctest.Wait()
		began := time.Now()
		if err := group.Stop(t.Context()); err != nil || time.Since(began) > 0 {
			t.Errorf("%v after %s", err, time.Since(began))
		}
		if lines := hook.AllEntries(); len(lines) > 0 {
			t.Errorf("logged %v", lines)
		}
	})
}

// Guards against a shutdown that a component may delay without end, past the time at which the
// process is killed, and against work that is cut off before its time is up.
func TestStopEndsWithItsLimit(t *testing.T) {
	const limit, hour = time.Second, time.Hour
	tests := map[string]struct {
		stopTimeout time.Duration
		heeds       bool // its Stop returns when its context ends
		took        time.Duration
		notEnded    []any
	}{
		"heeds the limit of the group": {hour, true, limit, nil},
		"heeds its own limit":          {limit / 2, true, limit / 2, nil},
		"heeds none":                   {hour, false, limit + lastWait, []any{"drains"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group, hook := newTestGroup()
				var ended endings
				release := make(chan struct{})
				group.Start(ended.component("first"))
				group.Start(Component{
					Name: "drains", StopTimeout: test.stopTimeout, Run: ended.component("drains").Run,
					Stop: func(ctx context.Context) error {
						<-ctx.Done()
						if !test.heeds {
							<-release
						}
						return nil
					},
				})
				limited, end := context.WithTimeout(t.Context(), limit)
				defer end()
				began := time.Now()
				if err := group.Stop(limited); err != nil {
					t.Error(err)
				}
				if took := time.Since(began); took != test.took {
					t.Errorf("the stop took %s", took)
				}
				if names := logged(hook, eventNotEnded.Number, "component"); !slices.Equal(names, test.notEnded) {
					t.Errorf("logged as not ended: %v", names)
				}
				if want := []string{"drains", "first"}; test.stopTimeout < limit && !slices.Equal(ended.names, want) {
					t.Errorf("ended %v, want %v", ended.names, want)
				}
				close(release)
			})
		})
	}
}
