package control

import (
	"fmt"
	"time"

	"celeryport/consensus"
	"celeryport/control/attachment"
	"celeryport/event"
	"celeryport/fairshare"
	"celeryport/membership"
	"celeryport/quota"
)

// fanout is the part of a voter, leading or not, that answers the syncs of the instances
// attached to it: it sends them what the voter has received from the leader and the log,
// and forwards their statements to the leader.
//
// If the leader of a large fleet answered every instance itself, syncs would saturate its
// processor, above all those that arrive at once when an instance joins or an engine
// leaves. Consensus messages would be queued behind them for longer than an election
// timeout: the group then changes its leader about once a second, and neither settings nor
// leaving engines are acknowledged.
type fanout struct {
	core    *core
	epoch   string
	roster  *attachment.Roster
	packed  packedMembers
	polls   []poll
	out     outbox           // batches of all known upstreams
	inboxes map[string]inbox // announcements received by attached instances, by instance name
	leaving bool             // an upstream is leaving, so the next batch must not be delayed
	urgent  uint64           // last batch that could not be delayed

	delivery    delivery        // updates that a leader must acknowledge
	demands     *fairshare.Pool // demands of the attached instances
	grantRound  uint64          // number of the last response with grants
	leavingMark uint64          // mark of the last leaving upstream that an attached instance reported
}

func newFanout(c *core) *fanout {
	return &fanout{
		core:    c,
		epoch:   fmt.Sprintf("%s/%d", c.self.Name, c.self.Incarnation),
		roster:  attachment.NewRoster(c.timing.Membership.Lease + c.timing.Membership.Margin),
		out:     newOutbox(c.known),
		inboxes: map[string]inbox{},
		demands: fairshare.NewPool(),
	}
}

// connected reports whether this voter is in contact with a leader. A voter that is not
// may be partitioned from the others and lack the latest settings, while its attached
// instances can still reach the other voters.
func (f *fanout) connected(now time.Time) bool {
	return f.core.connected && now.Sub(f.core.syncedAt) <= f.core.timing.Contact
}

// accept processes a sync, and answers it or holds it until there is a change.
func (f *fanout) accept(now, arrivedAt time.Time, request *syncRequest, reply chan<- *syncResponse) {
	if request.Probe {
		revision, _ := f.core.newestText()
		reply <- &syncResponse{Leader: f.core.self.ControlAddress, Epoch: f.epoch, Revision: revision, Detached: !f.connected(now)}
		return
	}
	if !f.resolveBrief(request) {
		reply <- &syncResponse{Restate: true}
		return
	}
	verdict, news := f.roster.Record(now, request.Instance)
	if verdict == membership.Stale {
		reply <- &syncResponse{Superseded: f.roster.Incarnation(request.Instance.Name)}
		return
	}
	if news {
		f.core.node.requestSync()
	}
	f.demands.Record(now, request.Instance.Name, request.Demand)
	wait := time.Duration(request.WaitMs) * time.Millisecond
	p := poll{request: request, arrivedAt: arrivedAt, due: now.Add(min(wait, f.core.timing.Sync)), reply: reply}
	p.appliedUpTo = f.receiveAnnouncements(now, &p)
	p.mayAnnounceLeaving = len(request.announcements) > 0 && f.leavingMark > f.delivery.acknowledged
	f.polls = append(f.polls, p)
}

// resolveBrief fills in the fields that a brief statement omits.
func (f *fanout) resolveBrief(request *syncRequest) bool {
	brief := request.Brief
	if brief == nil {
		return true
	}
	known, found := f.roster.Known(brief.Name)
	if !found || known.Incarnation != brief.Incarnation {
		return false
	}
	request.Instance = brief.of(known)
	return true
}

// receiveAnnouncements processes the announcements received by an attached instance, which are
// forwarded to the leader like those that this voter received itself.
func (f *fanout) receiveAnnouncements(now time.Time, p *poll) uint64 {
	relayed, position := receiveInbox(f.inboxes, now, p)
	for _, r := range relayed {
		f.core.markDeparted(&r.Announcement)
		f.core.logUpstream(r.Announcement)
		f.core.direct.ApplyRelayed(now, r)
		if !f.core.known.ApplyRelayed(now, r) {
			continue
		}
		f.core.markUpstreamChanged(r.Announcement)
		if r.Announcement.Leaving {
			f.leavingMark = f.delivery.nextMark()
		}
	}
	return position
}

// step answers the syncs that are due and returns when to call it again.
func (f *fanout) step(now time.Time) time.Time {
	f.broadcast(now)
	next := now.Add(maxWait)
	if f.out.registry.Version() != f.out.version {
		next = earlier(next, f.out.at.Add(relayInterval))
	}
	revision, _ := f.core.newestText()
	f.polls, next = answerDue(now, f.polls, next, func(p *poll) *syncResponse {
		if now.Before(p.due) && !p.mayAnnounceLeaving && !f.hasUpdates(p.request, revision) {
			return nil
		}
		return f.answer(now, p)
	})
	return next
}

// answerDue replies to the polls for which answer returns a response. It returns the
// remaining ones, and the earlier of next and the time when the first of them is due.
func answerDue(now time.Time, polls []poll, next time.Time, answer func(p *poll) *syncResponse) ([]poll, time.Time) {
	held := polls[:0]
	for i := range polls {
		p := polls[i]
		if response := answer(&p); response != nil {
			p.reply <- response
			continue
		}
		held = append(held, p)
		next = earlier(next, p.due)
	}
	clear(polls[len(held):])
	return held, next
}

// hasUpdates reports whether an instance must be answered at once: because of new settings,
// a leaving upstream, or a change of the quarantined requests or evacuated zones. News of instances that join
// or leave waits for the next response. Otherwise, when a whole fleet starts, each instance
// would wake all the others.
func (f *fanout) hasUpdates(r *syncRequest, revision uint64) bool {
	return r.Epoch != f.epoch || r.Instance.Revision < revision || r.Upstreams < f.urgent ||
		f.core.group.quarantineAfter(r) != nil || f.core.evacuatedAfter(r) != nil
}

func (f *fanout) answer(now time.Time, p *poll) *syncResponse {
	r := p.request
	members, upstreams := r.Members, r.Upstreams
	if r.Epoch != f.epoch {
		members, upstreams = 0, 0
	}
	revision, text := f.core.newestText()
	response := &syncResponse{
		Leader:             f.core.self.ControlAddress,
		Epoch:              f.epoch,
		Revision:           revision,
		Members:            f.membersSince(members),
		MembersAt:          f.core.members.revision,
		Settled:            f.core.members.settled,
		AppliedUpTo:        p.appliedUpTo,
		HeldMs:             now.Sub(p.arrivedAt).Milliseconds(),
		Detached:           !f.connected(now),
		Accepted:           f.roster.Acknowledged(r.Instance.Name),
		mayAnnounceLeaving: p.mayAnnounceLeaving,

		Quarantine: f.core.group.quarantineAfter(r),
		Evacuated:  f.core.evacuatedAfter(r),
	}
	if r.Instance.Revision < revision {
		response.Text = text
	}
	if !response.Detached {
		f.grant(now, response, r)
		response.LeaseMs = f.core.timing.Membership.Lease.Milliseconds()
	}
	if epoch := f.core.group.machine.Epoch(); r.Epoch != f.epoch || r.Claims != epoch.Number {
		response.Voters, response.Claims = f.core.currentVoters(), epoch
	}
	var err error
	if response.upstreams, err = f.out.sender.Since(now, upstreams); err != nil {
		eventRelayFailed.Log(f.core.log, event.Fields{"error": err})
	}
	return response
}

// grant adds the totals of the fleet to the response to a sync that states demands, unless the
// leader has sent none for so long that they are out of date.
func (f *fanout) grant(now time.Time, response *syncResponse, r *syncRequest) {
	if len(r.Demand) == 0 || now.Sub(f.core.grantedAt) > quota.DefaultLease {
		return
	}
	if grants := f.demands.Select(now, r.Instance.Name, f.core.grants); len(grants) > 0 {
		f.grantRound++
		response.Grants, response.GrantsAt = grants, f.grantRound
	}
}

// membersSince returns the instances that changed after a revision of the member list.
func (f *fanout) membersSince(revision uint64) memberDelta {
	members := &f.core.members
	if delta, found := f.packed.find(members.revision, revision); found {
		return delta
	}
	list := members.changed(revision)
	if len(list) < minPackedMembers {
		return memberDelta{list: list}
	}
	delta, err := packMembers(list)
	if err != nil {
		eventPackFailed.Log(f.core.log, event.Fields{"error": err})
		return memberDelta{list: list}
	}
	f.packed.add(members.revision, revision, delta)
	return delta
}

// broadcast adds a batch of upstream changes when one is due, and at once if an upstream
// is leaving.
func (f *fanout) broadcast(now time.Time) {
	if !f.leaving && !f.out.due(now) {
		return
	}
	if err := f.out.gather(now); err != nil {
		eventRelayFailed.Log(f.core.log, event.Fields{"error": err})
	}
	if f.leaving {
		f.leaving = false
		f.urgent = f.out.sender.Position()
	}
}

// currentVoters lists the voters according to the log, or else those last named by a
// leader.
func (c *core) currentVoters() []consensus.Member {
	if voters := c.group.voters(); len(voters) > 0 {
		return voters
	}
	return c.voters
}
