package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/clock"
	"celeryport/control/state"
	"celeryport/settings"
	"celeryport/verdict"
)

// fleet is a set of nodes on loopback in one process.
type fleet struct {
	t       *testing.T
	voters  []settings.Member
	members []*testNode
	timing  Timing
	network network
	heal    int // number of voters that leaders maintain automatically
	fanOut  bool
	zones   []string // availability zones of the instances in rotation; empty: all are in one
}

// testNode is a node that can be stopped and restarted.
type testNode struct {
	node    *Node
	process settings.Process
	disk    *fullDisk
	clock   clock.Clock // nil: the system clock
	stop    context.CancelFunc
	ended   chan error
}

const testInstanceKey, testOperatorKey = "instance-key", "operator-key"

// testTree returns a settings tree whose text differs for each n.
func testTree(n int) []byte {
	return fmt.Appendf(nil, "[organisation.aretusa]\nweight = %d\n[class.counter]\ndeadline = 5s\n[length.any]\nup_to = 2M\n", n+1)
}

// newFleet starts instances, the first ones as voters and the others without a data
// folder, and waits until all of them hold a lease.
func newFleet(t *testing.T, voters, others int) *fleet {
	t.Helper()
	return newFleetWith(t, voters, others, func(*Timing) {})
}

// newHealingFleet starts voters whose leaders maintain their number automatically.
func newHealingFleet(t *testing.T, voters int) *fleet {
	t.Helper()
	f := &fleet{t: t, timing: testTiming(), heal: voters}
	f.startAll(voters, 0)
	return f
}

func newFleetWith(t *testing.T, voters, others int, change func(*Timing)) *fleet {
	t.Helper()
	f := &fleet{t: t, timing: testTiming()}
	change(&f.timing)
	f.startAll(voters, others)
	return f
}

func (f *fleet) startAll(voters, others int) {
	f.t.Helper()
	var listeners []net.Listener
	for i := range voters + others {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.t.Fatal(err)
		}
		listeners = append(listeners, listener)
		if i < voters {
			f.voters = append(f.voters, settings.Member{ID: fmt.Sprintf("i%d", i), Address: listener.Addr().String()})
		}
	}
	for i, listener := range listeners {
		f.add(i, i < voters, listener)
	}
}

func testTiming() Timing {
	timing := DefaultTiming()
	timing.Membership.Lease = 1500 * time.Millisecond
	timing.Membership.Margin = 200 * time.Millisecond
	return timing
}

// add starts an additional instance.
func (f *fleet) add(number int, voter bool, listener net.Listener) *testNode {
	f.t.Helper()
	process := settings.Process{
		Name:             fmt.Sprintf("i%d", number),
		AvailabilityZone: f.zone(number),
		Listen:           fmt.Sprintf("127.0.0.1:%d", 10000+number),
		ControlListen:    listener.Addr().String(),
		Voter:            voter,
		Voters:           f.voters,
		MayFoundGroup:    true,
		InstanceKey:      testInstanceKey,
		OperatorKeys:     []string{testOperatorKey},
	}
	if voter {
		process.DataFolder = f.t.TempDir()
	}
	n := &testNode{process: process, disk: &fullDisk{}}
	f.members = append(f.members, n)
	f.start(n, listener)
	f.t.Cleanup(n.halt)
	return n
}

// start runs the node; if listener is nil, the node listens on its former address.
func (f *fleet) start(n *testNode, listener net.Listener) {
	f.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(f.t.Output())
		log.SetLevel(logrus.DebugLevel)
	}
	node, err := New(Options{
		Process: &n.process, Log: log.WithField("at", n.process.Name), Listener: listener, Timing: f.timing, FS: n.disk, Clock: n.clock,
		Dial: f.network.dialFrom(n.process.ControlListen), Heal: f.heal, FanOut: f.fanOut,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.node, n.stop, n.ended = node, cancel, make(chan error, 1)
	go func() { n.ended <- node.Run(ctx) }()
}

func (f *fleet) zone(number int) string {
	if len(f.zones) == 0 {
		return "sala-ortigia"
	}
	return f.zones[number%len(f.zones)]
}

// halt stops the node and waits until it has ended.
func (n *testNode) halt() {
	if n.stop == nil {
		return
	}
	n.stop()
	<-n.ended
	n.stop = nil
}

// await waits for a condition that becomes true without further action by the test.
func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.NewTimer(30 * time.Second)
	defer deadline.Stop()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-deadline.C:
			f.t.Fatalf("timed out waiting for: %s", what)
		case <-tick.C:
		}
	}
}

// ask sends an operator's command to the running nodes in turn until one of them answers
// it.
func (f *fleet) ask(command string, request, response any) {
	f.t.Helper()
	body, err := json.Marshal(request)
	if err != nil {
		f.t.Fatal(err)
	}
	f.await(command+" answered", func() bool {
		for _, m := range f.members {
			if m.stop == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			answer, err := m.node.Ask(ctx, m.process.ControlListen, command, body)
			cancel()
			if err == nil {
				return json.Unmarshal(answer, response) == nil
			}
			if verdict.From(err).Reason == verdict.ReasonBadRequest {
				f.t.Fatal(err)
			}
		}
		return false
	})
}

// apply sends an order and returns its outcome.
func (f *fleet) apply(base uint64, id string, text []byte) state.Outcome {
	f.t.Helper()
	var outcome state.Outcome
	f.ask(CommandApply, ApplyRequest{Base: base, OrderID: id, Text: text}, &outcome)
	return outcome
}

// leader waits for a node that leads and is not partitioned.
func (f *fleet) leader() *testNode {
	f.t.Helper()
	var found *testNode
	f.await("a leader", func() bool {
		for _, m := range f.members {
			if m.stop != nil && m.node.issuer.Load() != nil && time.Now().Before(m.node.issuer.Load().Until) {
				found = m
				return true
			}
		}
		return false
	})
	return found
}

// crash ends a node without notifying the others.
func (f *fleet) crash(n *testNode) {
	f.network.partition(n.process.ControlListen)
	n.halt()
	f.network.reconnect(n.process.ControlListen)
}

// awaitInstalled waits until every running node has installed the revision.
func (f *fleet) awaitInstalled(revision uint64) {
	f.t.Helper()
	for _, m := range f.members {
		if m.stop != nil {
			f.awaitInstalledAt(m, revision)
		}
	}
}

// awaitInForce waits until the leader reports that the revision is in force.
func (f *fleet) awaitInForce(revision uint64) {
	f.t.Helper()
	f.await(fmt.Sprintf("revision %d in force", revision), func() bool {
		var status SettingsStatus
		f.ask(CommandShow, nil, &status)
		return status.InForce >= revision
	})
}

// awaitInstalledAt waits until a node has installed the revision.
func (f *fleet) awaitInstalledAt(m *testNode, revision uint64) {
	f.t.Helper()
	f.await(fmt.Sprintf("revision %d at %s", revision, m.process.Name), func() bool {
		v := m.node.View()
		return v.Tree != nil && v.Tree.Revision == revision && time.Now().Before(v.LeaseUntil)
	})
}
