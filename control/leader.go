package control

import (
	"fmt"
	"time"

	"celeryport/consensus"
	"celeryport/departure"
	"celeryport/event"
	"celeryport/membership"
)

// leader is the state that a voter has only while it leads: the membership table, the
// syncs that it holds, and which accepted settings are in force.
type leader struct {
	core            *core
	epoch           string
	term            uint64
	table           *membership.Table
	polls           []poll
	allocation      *allocation
	inForce         uint64                  // latest revision known to be in force
	ids             map[string]consensus.ID // voter IDs by instance name
	initialProposed bool                    // the initial settings tree has been proposed
	issuerProposed  bool                    // this leader has been proposed as the issuer of engine orders
	issuerAt        time.Time               // when this leader became the issuer of engine orders
	inboxes         map[string]inbox        // by instance
	confirmed       confirmations
	since           time.Time      // when this leader began to lead
	healAt          time.Time      // when to check the voters next
	evidence        *evidenceBatch // batch being collected, nil if none
	settling        bool           // a later entry is due that decides without new evidence
	departures      departure.Expiry
}

// poll is a sync whose response is held until there is a change.
type poll struct {
	request     *syncRequest
	arrivedAt   time.Time
	appliedUpTo uint64
	due         time.Time
	reply       chan<- *syncResponse

	unknown            []string          // attached instances that must be stated in full
	superseded         map[string]uint64 // attached instances of which a higher incarnation is known, with that incarnation
	mayAnnounceLeaving bool              // it may announce a leaving upstream that the leader does not have yet
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

// followLeadership creates or removes the leader state according to the role of the voter.
// A newly elected voter counts as leader only after it has applied an entry of its own
// term: before that it may not know changes that were accepted under its predecessor.
func (c *core) followLeadership(now time.Time) {
	leads, term := false, uint64(0)
	if c.group != nil {
		leads, term = c.group.leads()
	}
	if c.leader != nil && (!leads || c.leader.term != term) {
		eventLeadershipLost.Log(c.log, event.Fields{"term": c.leader.term, "current_term": term, "leader": c.group.leaderAddress()})
		c.leader.redirectPolls()
		c.leader = nil
	}
	if c.leader == nil && leads {
		eventElected.Log(c.log, event.Fields{"term": term})
		c.leader = newLeader(now, c, term)
		c.position.leader = c.self.ControlAddress
	}
}

// redirectPolls answers the held syncs when this voter no longer leads.
func (l *leader) redirectPolls() {
	l.core.node.issuer.Store(nil)
	for _, p := range l.polls {
		p.reply <- &syncResponse{Redirect: true}
	}
	l.polls = nil
}

// accept processes a sync and answers or holds it.
func (l *leader) accept(now, arrivedAt time.Time, request *syncRequest, reply chan<- *syncResponse) {
	if !l.resolveBrief(request) {
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
	l.allocation.recordDemand(now, request.Instance.Name, request.Demand, request.Grants)
	wait := time.Duration(request.WaitMs) * time.Millisecond
	p := poll{request: request, arrivedAt: arrivedAt, due: now.Add(min(wait, l.core.timing.Sync)), reply: reply}
	p.appliedUpTo = l.receiveAnnouncements(now, &p)
	p.unknown, p.superseded = l.acceptAttached(now, request.Attached)
	l.polls = append(l.polls, p)
}

// resolveBrief fills in the fields that a brief statement omits.
func (l *leader) resolveBrief(request *syncRequest) bool {
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

// step answers the syncs that are due and returns when to call it again.
func (l *leader) step(now time.Time) time.Time {
	l.table.Expire(now)
	l.logInForce(now)
	l.maintainIssuer(now)
	l.applyInitialTree(now)
	l.expireDepartures(now)
	next := l.heal(now)
	l.core.fanout.broadcast(now)
	l.polls, next = answerDue(now, l.polls, next, func(p *poll) *syncResponse {
		if now.Before(p.due) && !l.hasUpdates(p) {
			return nil
		}
		return l.answer(now, p)
	})
	return next
}

// hasUpdates reports whether an instance must be answered at once. A voter with attached
// instances gets every batch of upstreams, because these receive it with a further delay.
func (l *leader) hasUpdates(p *poll) bool {
	r, out := p.request, l.core.fanout
	return r.Epoch != l.epoch || len(p.unknown) > 0 ||
		r.Instance.Revision < l.core.group.machine.Current().Number ||
		r.Members < l.table.Revision() ||
		r.Upstreams < out.urgent ||
		l.core.group.quarantineAfter(r) != nil ||
		l.core.evacuatedAfter(r) != nil ||
		len(r.Attached) > 0 && r.Upstreams < out.out.sender.Position()
}

// answer builds the response to a sync, with a lease if this leader's own lease proves
// that no other leader can have been elected.
func (l *leader) answer(now time.Time, p *poll) *syncResponse {
	r := p.request
	members, upstreams := r.Members, r.Upstreams
	if r.Epoch != l.epoch {
		members, upstreams = 0, 0
	}
	group := l.core.group
	response := &syncResponse{
		Leader:      l.core.self.ControlAddress,
		Epoch:       l.epoch,
		Revision:    group.machine.Current().Number,
		Members:     memberDelta{list: l.table.Changed(members)},
		MembersAt:   l.table.Revision(),
		Settled:     l.table.Settled(now),
		AppliedUpTo: p.appliedUpTo,
		HeldMs:      now.Sub(p.arrivedAt).Milliseconds(),
		Unknown:     p.unknown,

		SupersededAttached: p.superseded,
		Quarantine:         group.quarantineAfter(r),
		Evacuated:          l.core.evacuatedAfter(r),
	}
	if r.Epoch != l.epoch || r.Claims != group.machine.Epoch().Number {
		response.Voters, response.Claims = group.voters(), group.machine.Epoch()
	}
	response.upstreams = l.upstreamsSince(now, upstreams)
	if r.Instance.Revision < response.Revision {
		response.Text = group.machine.Text()
	}
	l.confirmed.setCurrent(now, response.Revision)
	if group.leaseValid(now) && r.Instance.State != membership.Gone && l.confirmed.isRecent(now, r.Instance.Revision) {
		response.LeaseMs = l.core.timing.Membership.Lease.Milliseconds()
		l.table.RecordLease(now, r.Instance.Name)
	}
	response.Grants, response.GrantsAt = l.grants(now, r.Instance.Name)
	return response
}

// upstreamsSince encodes the batches after a position.
func (l *leader) upstreamsSince(now time.Time, position uint64) []byte {
	delta, err := l.core.fanout.out.sender.Since(now, position)
	if err != nil {
		eventRelayFailed.Log(l.core.log, event.Fields{"error": err})
	}
	return delta
}

// logInForce logs a revision when it is first seen in force on every instance.
func (l *leader) logInForce(now time.Time) {
	current := l.core.group.machine.Current().Number
	if current <= l.inForce || !l.table.InForce(now, current) {
		return
	}
	l.inForce = current
	eventInForce.Log(l.core.log, event.Fields{"revision": current})
}
