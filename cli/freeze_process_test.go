package cli

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"

	"celeryport/control"
	"celeryport/rpc"
)

// signal sends a signal to process i.
func (f *processFleet) signal(i int, s syscall.Signal) {
	f.t.Helper()
	if err := f.processes[i].Process.Signal(s); err != nil {
		f.t.Fatal(err)
	}
}

// queuedRequests is the number of requests that wait for a frozen process.
const queuedRequests = 16

// queueRequests requests the settings from a frozen process. The requests wait in its
// sockets and are the first that it reads when it resumes.
func (f *processFleet) queueRequests(frozen int) <-chan control.SettingsStatus {
	answers := make(chan control.SettingsStatus, queuedRequests)
	var sent sync.WaitGroup
	for range queuedRequests {
		sent.Add(1)
		go func() {
			notify := sync.OnceFunc(sent.Done)
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &notifyingConn{conn, notify}, err
			}
			clients := rpc.NewClients(operatorSecret, dial)
			defer clients.Close()
			o := operator{addresses: []string{f.control[frozen]}, clients: clients, timeout: processTimeout}
			var status control.SettingsStatus
			if err := o.call(f.t.Context(), control.CommandShow, nil, &status); err != nil {
				f.t.Error(err)
			}
			answers <- status
		}()
	}
	sent.Wait()
	return answers
}

// notifyingConn calls sent after each write.
type notifyingConn struct {
	net.Conn
	sent func()
}

func (c *notifyingConn) Write(p []byte) (int, error) {
	defer c.sent()
	return c.Conn.Write(p)
}

func TestResumedLeaderServesNoOutdatedState(t *testing.T) {
	// The leader's process is frozen, for instance by memory pressure, and resumes
	// after the others elected a new leader and accepted a change. The first requests
	// that it reads must not be answered from its outdated state.
	t.Parallel()
	f := startProcessFleet(t, 3, 0)
	first, code := f.apply(0, "first", 1)
	if code != ExitDone {
		t.Fatalf("first apply: exit %d", code)
	}
	frozen := f.leader()
	f.signal(frozen, syscall.SIGSTOP)
	second, code := f.apply(first.Outcome.Revision, "second", 2)
	if code != ExitDone {
		t.Fatalf("apply beside a frozen leader: exit %d, %+v", code, second)
	}
	answers := f.queueRequests(frozen)
	f.signal(frozen, syscall.SIGCONT)
	for range queuedRequests {
		if status := <-answers; status.Accepted.Number != second.Outcome.Revision {
			t.Fatalf("resumed leader reports accepted revision %d, want %d", status.Accepted.Number, second.Outcome.Revision)
		}
	}
	f.awaitAgreement(second.Outcome.Revision)
}
