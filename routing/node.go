// Package routing chooses upstreams for requests. It accounts for the requests
// that this instance has in flight, corrects load reports for their age,
// compares random candidates, and implements prefix affinity, the long lane,
// spans, and the ejection of upstreams that answer slowly or incorrectly. Its
// types are pure.
package routing

import (
	"time"

	"celeryport/loadshare"
	"celeryport/upstream"
)

// Node holds the state that one instance keeps for one upstream incarnation.
type Node struct {
	Name         string
	Incarnation  uint64
	Address      string
	Kind         upstream.Kind
	MemoryTokens int
	Slots        int
	Health       Health

	state       upstream.State
	report      report
	prefixes    *upstream.Prefixes
	announcedAt time.Time
	// freshUntil is when the node turns silent if no newer snapshot arrives;
	// zero means never.
	freshUntil time.Time
	targets    []string
	revision   uint64 // last view revision that contained the node
	inLane     bool   // part of the long lane of its pool
	denied     bool   // denied a span reservation since its last report
	key        loadshare.Key
	doubted    bool // there is evidence that it fails more calls than others

	inFlight   int
	sends      []*Send // in flight, unordered
	unreported load    // own sends made after the report was measured
	reported   load    // own sends included in the report

	// Shared holds data that the owner of the table attaches to the node.
	Shared any
}

// Part is the portion of a placement on one node.
type Part struct {
	Node   *Node
	Tokens int
	Lead   bool
}

// load sums a set of sends to one node.
type load struct {
	count  int // requests
	short  int // prompt tokens of short prompts that are still prefilling
	long   int // prompt tokens of long prompts that are still prefilling
	memory int // tokens held or reserved
}

// Send is one request, or one part of a span, that this instance has in flight
// on a node.
type Send struct {
	At         time.Time
	Prefill    int // prompt tokens expected to be prefilled
	Memory     int
	Long       bool
	Lead       bool
	node       *Node
	position   int // in node.sends
	unreported bool
	started    bool // first token arrived
}

// Node returns the node that the request was sent to.
func (s *Send) Node() *Node { return s.node }

// InFlight returns the number of this instance's requests on the node.
func (n *Node) InFlight() int { return n.inFlight }

// running estimates the number of requests of all instances on the node.
func (n *Node) running() int {
	return max(n.report.running, n.reported.count) + n.unreported.count
}

// State returns the freshness of the node in the last snapshot.
func (n *Node) State() upstream.State { return n.state }

// MarkDenied records that the node may have denied a span reservation, so that
// its report of free memory is wrong. The node is not chosen for spans again
// before its next report.
func (n *Node) MarkDenied() { n.denied = true }

// Begin registers a send to the node.
func (n *Node) Begin(s *Send) {
	s.node = n
	s.unreported = true
	s.started = false
	s.position = len(n.sends)
	n.sends = append(n.sends, s)
	n.inFlight++
	n.unreported.add(s, 1)
}

// FirstToken marks the prefill of a send as finished.
func (n *Node) FirstToken(s *Send) {
	if s.started {
		return
	}
	n.loadOf(s).prefilled(s)
	s.started = true
}

// End removes a send from the node.
func (n *Node) End(s *Send) {
	n.loadOf(s).add(s, -1)
	last := len(n.sends) - 1
	n.sends[s.position] = n.sends[last]
	n.sends[s.position].position = s.position
	n.sends[last] = nil
	n.sends = n.sends[:last]
	n.inFlight--
	s.node = nil
}

func (n *Node) loadOf(s *Send) *load {
	if s.unreported {
		return &n.unreported
	}
	return &n.reported
}

func (l *load) add(s *Send, sign int) {
	l.count += sign
	l.memory += sign * s.Memory
	if s.started {
		return
	}
	if s.Long {
		l.long += sign * s.Prefill
	} else {
		l.short += sign * s.Prefill
	}
}

func (l *load) prefilled(s *Send) {
	if s.Long {
		l.long -= s.Prefill
	} else {
		l.short -= s.Prefill
	}
}

// observe applies a newer announcement. Sends made before the new measurement
// are included in its report from then on.
func (n *Node) observe(u *upstream.Upstream) {
	a := &u.Announcement
	n.Address = a.Address
	n.Kind = a.Kind
	n.MemoryTokens = a.MemoryTokens
	n.Slots = a.Slots
	n.state = u.State
	n.prefixes = u.Prefixes
	n.targets = a.Targets
	n.announcedAt = u.AnnouncedAt
	n.freshUntil = u.FreshUntil
	if !u.LoadAt.After(n.report.at) {
		return
	}
	n.report = newReport(&a.Load, u.LoadAt)
	n.denied = false
	for _, s := range n.sends {
		if s.unreported && !s.At.After(u.LoadAt) {
			n.unreported.add(s, -1)
			s.unreported = false
			n.reported.add(s, 1)
		}
	}
}
