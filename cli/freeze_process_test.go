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

// askedAhead is how many questions wait for a frozen process.
const askedAhead = 16

// askAhead asks a frozen process for the settings. The questions wait in its
// sockets and are the first that it sees when it wakes.
func (f *processFleet) askAhead(frozen int) <-chan control.SettingsStatus {
	answers := make(chan control.SettingsStatus, askedAhead)
	var sent sync.WaitGroup
	for range askedAhead {
		sent.Add(1)
		go func() {
			noted := sync.OnceFunc(sent.Done)
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &notingConn{conn, noted}, err
			}
			clients := rpc.NewClients(operatorSecret, dial)
			defer clients.Close()
			o := operator{addresses: []string{f.control[frozen]}, clients: clients, timeout: processTimeout}
			var status control.SettingsStatus
			if err := o.ask(f.t.Context(), control.CommandShow, nil, &status); err != nil {
				f.t.Error(err)
			}
			answers <- status
		}()
	}
	sent.Wait()
	return answers
}

// notingConn notes when something was sent.
type notingConn struct {
	net.Conn
	sent func()
}

func (c *notingConn) Write(p []byte) (int, error) {
	defer c.sent()
	return c.Conn.Write(p)
}

func TestFrozenLeaderWakesAsAFollower(t *testing.T) {
	// The leader's process is frozen, for instance by its machine's memory running
	// short, and wakes after the others have elected a new leader and accepted a
	// change. Asked first of all, it must not answer out of its old memory.
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
	answers := f.askAhead(frozen)
	f.signal(frozen, syscall.SIGCONT)
	for range askedAhead {
		if status := <-answers; status.Accepted.Number != second.Outcome.Revision {
			t.Fatalf("the woken leader says %d is accepted, %d is", status.Accepted.Number, second.Outcome.Revision)
		}
	}
	f.awaitAgreement(second.Outcome.Revision)
}
