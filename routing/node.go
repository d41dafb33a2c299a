// Package routing chooses upstreams: accounts of what this instance has in
// flight, load reports corrected for their age, the choice among random
// candidates, prefix affinity, the long lane, spans, and the ejection of
// upstreams that answer slowly or wrongly. Its types are pure.
package routing

import (
	"time"

	"celeryport/upstream"
)

// Node is what one instance keeps of one upstream incarnation.
type Node struct {
	Name         string
	Incarnation  uint64
	Address      string
	Kind         upstream.Kind
	MemoryTokens int
	Slots        int
	Health       Health

	state    upstream.State
	report   report
	prefixes *upstream.Prefixes
	heardAt  time.Time
	// freshUntil is when it turns silent even if no newer view comes; zero: never.
	freshUntil time.Time
	targets    []string
	seen       uint64 // view revision in which it was present last
	inLane     bool   // of the long lane of its pool
	denied     bool   // refused a part of a span since its last report

	inFlight int
	sends    []*Send // in flight, in no order
	newer    load    // own sends that the report can't know yet
	known    load    // own sends that the report knows

	// Shared is of the owner of the table: what it keeps for each node.
	Shared any
}

// Part names one upstream of a placement.
type Part struct {
	Node   *Node
	Tokens int
	Lead   bool
}

// load is work of one kind of requests on an upstream.
type load struct {
	count  int // requests
	short  int // prompt tokens without a first token, of short prompts
	long   int // the same of long prompts
	memory int // tokens held or to be held
}

// Send is one request, or one part of a span, that this instance has in flight
// on a node.
type Send struct {
	At       time.Time
	Prefill  int // prompt tokens that were expected to be prefilled
	Memory   int
	Long     bool
	Lead     bool
	node     *Node
	position int // in node.sends
	newer    bool
	started  bool // first token arrived
}

// Node returns where the request was sent.
func (s *Send) Node() *Node { return s.node }

// InFlight is the number of own requests on the node.
func (n *Node) InFlight() int { return n.inFlight }

// running estimates the requests of all instances on the node.
func (n *Node) running() int {
	return max(n.report.running, n.known.count) + n.newer.count
}

// State is the freshness of the node in the last view.
func (n *Node) State() upstream.State { return n.state }

// Deny notes that the node may have refused a part of a span, so that its report
// is wrong about its memory. It is not asked again before the next report.
func (n *Node) Deny() { n.denied = true }

// Begin accounts for a send to the node.
func (n *Node) Begin(s *Send) {
	s.node = n
	s.newer = true
	s.started = false
	s.position = len(n.sends)
	n.sends = append(n.sends, s)
	n.inFlight++
	n.newer.add(s, 1)
}

// FirstToken ends the prefill of a send.
func (n *Node) FirstToken(s *Send) {
	if s.started {
		return
	}
	n.side(s).prefilled(s)
	s.started = true
}

// End forgets a send.
func (n *Node) End(s *Send) {
	n.side(s).add(s, -1)
	last := len(n.sends) - 1
	n.sends[s.position] = n.sends[last]
	n.sends[s.position].position = s.position
	n.sends[last] = nil
	n.sends = n.sends[:last]
	n.inFlight--
	s.node = nil
}

func (n *Node) side(s *Send) *load {
	if s.newer {
		return &n.newer
	}
	return &n.known
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

// observe takes a newer announcement. Sends from before the measurement are in
// the report from now on.
func (n *Node) observe(u *upstream.Upstream) {
	a := &u.Announcement
	n.Address = a.Address
	n.Kind = a.Kind
	n.MemoryTokens = a.MemoryTokens
	n.Slots = a.Slots
	n.state = u.State
	n.prefixes = u.Prefixes
	n.targets = a.Targets
	n.heardAt = u.HeardAt
	n.freshUntil = u.FreshUntil
	if !u.LoadAt.After(n.report.at) {
		return
	}
	n.report = newReport(&a.Load, u.LoadAt)
	n.denied = false
	for _, s := range n.sends {
		if s.newer && !s.At.After(u.LoadAt) {
			n.newer.add(s, -1)
			s.newer = false
			n.known.add(s, 1)
		}
	}
}
