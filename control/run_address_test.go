package control

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"celeryport/binding"
	"celeryport/settings"
)

// heldAddresses hands on the addresses that a log says are not free.
type heldAddresses chan any

func (heldAddresses) Levels() []logrus.Level { return []logrus.Level{logrus.WarnLevel} }

func (h heldAddresses) Fire(entry *logrus.Entry) error {
	if entry.Message == "address not free" {
		h <- entry.Data["address"]
	}
	return nil
}

// startWithHeldAddress runs a voter whose control address another socket holds, and returns when
// the voter waits for it.
func startWithHeldAddress(t *testing.T, dial func(context.Context, string, string) (net.Conn, error)) (*Node, net.Listener, func() error) {
	t.Helper()
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = holder.Close() }) // the test may have closed it
	address := holder.Addr().String()
	log, _ := logtest.NewNullLogger()
	waits := make(heldAddresses, 10)
	log.AddHook(waits)
	node, err := New(Options{Dial: dial, Log: log, Process: &settings.Process{
		Name: "i0", Listen: "127.0.0.1:1", ControlListen: address, Voter: true, DataFolder: t.TempDir(),
		Voters:        []settings.Member{{ID: "i0", Address: address}, {ID: "i1", Address: "127.0.0.1:2"}, {ID: "i2", Address: "127.0.0.1:3"}},
		MayFoundGroup: true, InstanceKey: testInstanceKey, OperatorKeys: []string{testOperatorKey},
	}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	stop := func() error {
		cancel()
		return <-ended
	}
	select {
	case err := <-ended:
		t.Fatalf("the voter ended: %v", err)
	case held := <-waits:
		if held != address {
			t.Fatalf("waits for %v", held)
		}
	}
	return node, holder, stop
}

// Guards against a voter that ends because its control address is held for a moment, and against
// one that others take for reachable before it is.
func TestVoterWaitsForItsControlAddress(t *testing.T) {
	calls := make(chan string, 100)
	node, holder, stop := startWithHeldAddress(t, func(ctx context.Context, network, address string) (net.Conn, error) {
		calls <- address
		return new(net.Dialer).DialContext(ctx, network, address)
	})
	if err := node.do(t.Context(), func(time.Time) {}); err != nil {
		t.Errorf("task while the address is held: %v", err)
	}
	if len(calls) > 0 {
		t.Errorf("the voter called %s before it could be called", <-calls)
	}
	if err := holder.Close(); err != nil {
		t.Fatal(err)
	}
	<-calls // it asks the other voters once it listens
	conn, err := net.Dial("tcp", holder.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if err := stop(); err != nil {
		t.Error(err)
	}
}

// Guards against a stop without effect while the control address is held, and against callers
// that wait for ever for a node that never ran.
func TestVoterStopsWhileItsControlAddressIsHeld(t *testing.T) {
	node, _, stop := startWithHeldAddress(t, nil)
	if err := stop(); err != nil {
		t.Error(err)
	}
	if err := node.do(t.Context(), func(time.Time) {}); !errors.Is(err, errStopped) {
		t.Errorf("task after the end: %v", err)
	}
}

// Guards against a voter that waits for ever for an address of another host.
func TestControlAddressOfAnotherHostIsRefused(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	node, err := New(Options{Log: log, Process: &settings.Process{Name: "i0", Listen: "127.0.0.1:1", ControlListen: "192.0.2.1:2"}})
	if err != nil {
		t.Fatal(err)
	}
	var refusal *binding.Refusal
	if err := node.Run(t.Context()); !errors.As(err, &refusal) {
		t.Errorf("ended with %v", err)
	}
}
