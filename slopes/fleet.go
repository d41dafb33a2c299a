package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"celeryport/control"
	"celeryport/control/state"
	"celeryport/settings"
)

const (
	instanceKey = "slopes"
	lookEvery   = time.Millisecond
	giveUp      = 30 * time.Second
)

// fleet is a set of nodes on loopback in this process.
type fleet struct {
	folder   string
	voters   int
	members  []*member
	revision uint64
	orders   int
}

// member is one node and the way to kill it.
type member struct {
	process settings.Process
	node    *control.Node
	gate    *gate
	stop    context.CancelFunc
	ended   chan struct{}
}

// startFleet starts nodes, the first of them voters, and waits until each admits
// by the first settings.
func startFleet(voters, count int, folder string) (*fleet, error) {
	f := &fleet{folder: folder, voters: voters}
	listeners := make([]net.Listener, count)
	var group []settings.Member
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		listeners[i] = listener
		if i < voters {
			group = append(group, settings.Member{ID: nameOf(i), Address: listener.Addr().String()})
		}
	}
	for i, listener := range listeners {
		m := &member{process: settings.Process{
			Found: true,
			Name:  nameOf(i), AvailabilityZone: fmt.Sprintf("zone-%d", i%3), Listen: "127.0.0.1:1",
			ControlListen: listener.Addr().String(), Voters: group, InstanceKey: instanceKey,
		}}
		if i < voters {
			m.process.Voter = true
			m.process.DataFolder = filepath.Join(folder, nameOf(i))
		}
		f.members = append(f.members, m)
		if err := m.start(listener); err != nil {
			return nil, err
		}
	}
	_, err := f.apply(settingsText(0, 0))
	if err != nil {
		return nil, err
	}
	return f, f.awaitInstalled(f.revision)
}

func nameOf(i int) string { return fmt.Sprintf("instance-%03d", i) }

func (m *member) start(listener net.Listener) error {
	m.gate = newGate(listener)
	log := logrus.New()
	log.SetOutput(io.Discard)
	node, err := control.New(control.Options{
		Process: &m.process, Log: log, Listener: m.gate, Dial: m.gate.dial,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.node, m.stop, m.ended = node, cancel, make(chan struct{})
	ended := m.ended
	go func() {
		defer close(ended)
		_ = node.Run(ctx) // a killed node ends with whatever error
	}()
	return nil
}

// restart starts a killed node at its old address.
func (m *member) restart() error {
	listener, err := net.Listen("tcp", m.process.ControlListen)
	if err != nil {
		return errors.Wrap(err, "listen again")
	}
	return m.start(listener)
}

// kill ends a node without a word.
func (m *member) kill() {
	m.gate.cut()
	m.end()
}

func (m *member) end() {
	if m.stop != nil {
		m.stop()
		<-m.ended
		m.stop = nil
	}
}

// close ends all nodes and removes their files.
func (f *fleet) close() error {
	for _, m := range f.members {
		if m.stop != nil {
			m.gate.cut()
			m.stop()
		}
	}
	for _, m := range f.members {
		m.end()
	}
	return os.RemoveAll(f.folder)
}

// settingsText is a small valid tree, made longer by a comment.
func settingsText(n, padding int) []byte {
	text := fmt.Appendf(nil, "[organisation.a]\nweight = %d\n[class.b]\ndeadline = 5s\n[length.c]\nup_to = 2M\n; ", n%1000+1)
	for range padding {
		text = append(text, 'x')
	}
	return append(text, '\n')
}

// await looks until the condition holds and returns how long that took.
func await(what string, condition func() bool) (time.Duration, error) {
	start := time.Now()
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for !condition() {
		if time.Since(start) > giveUp {
			return 0, errors.Newf("gave up waiting for %s", what)
		}
		<-ticker.C
	}
	return time.Since(start), nil
}

// awaitInstalled waits until every running node admits by the revision.
func (f *fleet) awaitInstalled(revision uint64) error {
	_, err := await("the settings everywhere", func() bool {
		for _, m := range f.members {
			if m.stop == nil {
				continue
			}
			v := m.node.View()
			if v.Tree == nil || v.Tree.Revision < revision || time.Now().After(v.LeaseUntil) {
				return false
			}
		}
		return true
	})
	return err
}

// ask sends a command to the running voters until one answers.
func (f *fleet) ask(command string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	_, err = await(command, func() bool {
		for _, m := range f.members[:f.voters] {
			if m.stop == nil {
				continue
			}
			answer, err := m.node.Ask(context.Background(), m.process.ControlListen, command, body)
			if err == nil {
				return json.Unmarshal(answer, response) == nil
			}
		}
		return false
	})
	return err
}

// apply changes the settings and returns how long the commit took.
func (f *fleet) apply(text []byte) (time.Duration, error) {
	f.orders++
	request := control.ApplyRequest{Base: f.revision, OrderID: fmt.Sprintf("%s-%d", f.folder, f.orders), Text: text}
	var outcome state.Outcome
	start := time.Now()
	if err := f.ask(control.CommandApply, request, &outcome); err != nil {
		return 0, err
	}
	if outcome.Kind != state.Accepted {
		return 0, errors.Newf("order %d: %+v", f.orders, outcome)
	}
	f.revision = outcome.Revision
	return time.Since(start), nil
}

// leader returns the node that leads.
func (f *fleet) leader() (*member, error) {
	var status control.InstancesStatus
	if err := f.ask(control.CommandInstances, nil, &status); err != nil {
		return nil, err
	}
	for _, m := range f.members {
		if m.process.ControlListen == status.Leader {
			return m, nil
		}
	}
	return nil, errors.New("the leader is not one of the nodes")
}

// usage sums what all nodes have used.
func (f *fleet) usage() usage {
	u := usage{at: time.Now(), cpu: cpuTime()}
	for _, m := range f.members {
		u.calls += m.node.Traffic().Calls.Load()
		u.bytes += m.bytes()
	}
	return u
}

// bytes returns what went over the connections that the node opened.
func (m *member) bytes() uint64 {
	traffic := m.node.Traffic()
	return traffic.Sent.Load() + traffic.Received.Load()
}
