package control

import (
	"fmt"
	"time"

	"celeryport/consensus"
	"celeryport/event"
	"celeryport/membership"
)

// leader is what a voter keeps only while it leads: the instances, the syncs
// that it holds, and how far the accepted settings are in force.
type leader struct {
	core         *core
	epoch        string
	term         uint64
	table        *membership.Table
	polls        []poll
	allocation   *allocation
	inForce      uint64 // newest revision known to be in force
	ids          map[string]consensus.ID
	initialAsked bool
	issuerAsked  bool
	issuerAt     time.Time        // when this leader became the issuer
	inboxes      map[string]inbox // by instance
	confirmed    confirmations
	since        time.Time      // when this leader began
	healAt       time.Time      // when to look at the voters again
	evidence     *evidenceBatch // that gathers now; nil: none
}

// poll is a sync whose answer is held until there is news.
type poll struct {
	request   *syncRequest
	arrivedAt time.Time
	heardUpTo uint64
	due       time.Time
	reply     chan<- *syncResponse

	unknown    []string          // attached instances that must be stated whole
	superseded map[string]uint64 // attached instances of which a higher incarnation is known
	leaves     bool              // it may tell of an upstream that leaves, which the leader does not have yet
}

func newLeader(now time.Time, c *core, term uint64) *leader {
	return &leader{
		core:       c,
		epoch:      fmt.Sprintf("%s/%d/%d", c.self.Name, c.self.Incarnation, term),
		term:       term,
		since:      now,
		table:      membership.NewTable(now, c.timing.Membership),
		allocation: newAllocation(c.timing.Membership.Lease + c.timing.Membership.Margin),
		ids:        map[string]consensus.ID{},
		inboxes:    map[string]inbox{},
	}
}

// followLeadership starts and ends the leader's part with the role of the voter.
// A new leader counts as one only when it has applied an entry of its own term:
// before that it may not know of changes that were accepted under the former.
func (c *core) followLeadership(now time.Time) {
	leads, term := false, uint64(0)
	if c.group != nil {
		leads, term = c.group.leads()
	}
	if c.leader != nil && (!leads || c.leader.term != term) {
		eventFollowing.Log(c.log, event.Fields{"term": c.leader.term})
		c.leader.dismiss()
		c.leader = nil
	}
	if c.leader == nil && leads {
		eventLeading.Log(c.log, event.Fields{"term": term})
		c.leader = newLeader(now, c, term)
		c.position.leader = c.self.ControlAddress
	}
}

// dismiss answers the held syncs when this voter leads no more.
func (l *leader) dismiss() {
	l.core.node.issuer.Store(nil)
	for _, p := range l.polls {
		p.reply <- &syncResponse{Redirect: true}
	}
	l.polls = nil
}

// accept takes in a sync and answers it or holds it.
func (l *leader) accept(now, arrivedAt time.Time, request *syncRequest, reply chan<- *syncResponse) {
	if !l.complete(request) {
		reply <- &syncResponse{Restate: true}
		return
	}
	if l.table.Record(now, request.Instance) == membership.Stale {
		reply <- &syncResponse{Superseded: l.table.Incarnation(request.Instance.Name)}
		return
	}
	if request.Brief == nil {
		l.ids[request.Instance.Name] = request.VoterID
	}
	l.allocation.state(now, request.Instance.Name, request.Demand, request.Grants)
	wait := time.Duration(request.WaitMs) * time.Millisecond
	p := poll{request: request, arrivedAt: arrivedAt, due: now.Add(min(wait, l.core.timing.Sync)), reply: reply}
	p.heardUpTo = l.takeHeard(now, &p)
	p.unknown, p.superseded = l.acceptAttached(now, request.Attached)
	l.polls = append(l.polls, p)
}

// complete fills in what a brief statement leaves out.
func (l *leader) complete(request *syncRequest) bool {
	brief := request.Brief
	if brief == nil {
		return true
	}
	known, found := l.table.Known(brief.Name)
	if !found || known.Incarnation != brief.Incarnation {
		return false
	}
	request.Instance = brief.of(known)
	return true
}

// step answers what is due and returns when to come back.
func (l *leader) step(now time.Time) time.Time {
	l.table.Expire(now)
	l.noteInForce(now)
	l.keepIssuer(now)
	l.applyInitialTree(now)
	next := l.heal(now)
	l.core.fanout.spread(now)
	l.polls, next = answerDue(now, l.polls, next, func(p *poll) *syncResponse {
		if now.Before(p.due) && !l.hasNews(p) {
			return nil
		}
		return l.answer(now, p)
	})
	return next
}

// hasNews reports whether an instance must learn something at once. A voter that
// others are attached to gets each batch of upstreams, since they hear of it later.
func (l *leader) hasNews(p *poll) bool {
	r, out := p.request, l.core.fanout
	return r.Epoch != l.epoch || len(p.unknown) > 0 ||
		r.Instance.Revision < l.core.group.machine.Current().Number ||
		r.Members < l.table.Revision() ||
		r.Upstreams < out.urgent ||
		l.core.group.quarantineAfter(r) != nil ||
		len(r.Attached) > 0 && r.Upstreams < out.out.sender.Position()
}

// answer builds the answer to a sync, with a lease when this leader's own lease
// shows that no other leader can have been elected meanwhile.
func (l *leader) answer(now time.Time, p *poll) *syncResponse {
	r := p.request
	members, upstreams := r.Members, r.Upstreams
	if r.Epoch != l.epoch {
		members, upstreams = 0, 0
	}
	group := l.core.group
	response := &syncResponse{
		Leader:    l.core.self.ControlAddress,
		Epoch:     l.epoch,
		Revision:  group.machine.Current().Number,
		Members:   memberDelta{list: l.table.Changed(members)},
		MembersAt: l.table.Revision(),
		Settled:   l.table.Settled(now),
		HeardUpTo: p.heardUpTo,
		HeldMs:    now.Sub(p.arrivedAt).Milliseconds(),
		Unknown:   p.unknown,

		SupersededAttached: p.superseded,
		Quarantine:         group.quarantineAfter(r),
	}
	if r.Epoch != l.epoch || r.Claims != group.machine.Epoch().Number {
		response.Voters, response.Claims = group.voters(), group.machine.Epoch()
	}
	response.upstreams = l.upstreamsSince(now, upstreams)
	if r.Instance.Revision < response.Revision {
		response.Text = group.machine.Text()
	}
	l.confirmed.note(now, response.Revision)
	if group.leaseValid(now) && r.Instance.State != membership.Gone && l.confirmed.lately(now, r.Instance.Revision) {
		response.LeaseMs = l.core.timing.Membership.Lease.Milliseconds()
		l.table.RecordLease(now, r.Instance.Name)
	}
	response.Grants, response.GrantsAt = l.grants(now, r.Instance.Name)
	return response
}

// upstreamsSince encodes what an instance lacks.
func (l *leader) upstreamsSince(now time.Time, position uint64) []byte {
	delta, err := l.core.fanout.out.sender.Since(now, position)
	if err != nil {
		eventRelayFailed.Log(l.core.log, event.Fields{"error": err})
	}
	return delta
}

// noteInForce logs the moment when a revision is in force everywhere.
func (l *leader) noteInForce(now time.Time) {
	current := l.core.group.machine.Current().Number
	if current <= l.inForce || !l.table.InForce(now, current) {
		return
	}
	l.inForce = current
	eventInForce.Log(l.core.log, event.Fields{"revision": current})
}
