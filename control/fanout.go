package control

import (
	"fmt"
	"time"

	"celeryport/consensus"
	"celeryport/control/attachment"
	"celeryport/event"
	"celeryport/membership"
)

// fanout is the part of a voter, leading or not, that answers the syncs of the
// instances attached to it: it tells them what the voter itself has heard from the
// leader and from the log, and passes on what they state.
//
// A leader that answers every instance of a large fleet itself has its processor
// taken by syncs, and most by those that come all at once when one instance joins or
// an engine leaves. The messages of consensus then wait behind them for longer than an
// election timeout: the group changes its leader about once a second, and neither
// settings nor leaving engines are acknowledged.
type fanout struct {
	core    *core
	epoch   string
	roster  *attachment.Roster
	all     memberDelta // all instances, as of allAt
	allAt   uint64      // revision of the list of instances; 0: not encoded yet
	polls   []poll
	out     outbox           // what is known of upstreams
	inboxes map[string]inbox // of what attached instances heard, by name
	leaving bool             // an upstream leaves, which can't wait
	urgent  uint64           // last batch that could not wait

	delivery delivery // of what a leader must have
	left     uint64   // mark of the last upstream that leaves of which an attached instance told
}

func newFanout(c *core) *fanout {
	return &fanout{
		core:    c,
		epoch:   fmt.Sprintf("%s/%d", c.self.Name, c.self.Incarnation),
		roster:  attachment.NewRoster(c.timing.Membership.Lease + c.timing.Membership.Margin),
		out:     newOutbox(c.known),
		inboxes: map[string]inbox{},
	}
}

// inTouch reports whether this voter hears a leader. One that does not may be cut off
// from the others and know nothing of the newest settings, while the instances that
// are attached to it still reach the rest.
func (f *fanout) inTouch(now time.Time) bool {
	return f.core.inTouch && now.Sub(f.core.syncedAt) <= f.core.timing.Touch
}

// accept takes in a sync and holds it until there is news.
func (f *fanout) accept(now, arrivedAt time.Time, request *syncRequest, reply chan<- *syncResponse) {
	if request.Probe {
		revision, _ := f.core.newestText()
		reply <- &syncResponse{Leader: f.core.self.ControlAddress, Epoch: f.epoch, Revision: revision, Detached: !f.inTouch(now)}
		return
	}
	if !f.complete(request) {
		reply <- &syncResponse{Restate: true}
		return
	}
	verdict, news := f.roster.Record(now, request.Instance)
	if verdict == membership.Stale {
		reply <- &syncResponse{Superseded: f.roster.Incarnation(request.Instance.Name)}
		return
	}
	if news {
		f.core.node.kickSync()
	}
	wait := time.Duration(request.WaitMs) * time.Millisecond
	p := poll{request: request, arrivedAt: arrivedAt, due: now.Add(min(wait, f.core.timing.Sync)), reply: reply}
	p.heardUpTo = f.takeHeard(now, &p)
	p.leaves = len(request.heard) > 0 && f.left > f.delivery.taken
	f.polls = append(f.polls, p)
}

// complete fills in what a brief statement leaves out.
func (f *fanout) complete(request *syncRequest) bool {
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

// takeHeard takes in what an attached instance heard of upstreams, to be passed on to
// the leader like what this voter heard itself.
func (f *fanout) takeHeard(now time.Time, p *poll) uint64 {
	relayed, position := takeInbox(f.inboxes, now, p)
	for _, r := range relayed {
		f.core.logUpstream(r.Announcement)
		f.core.heard.HearRelayed(now, r)
		if !f.core.known.HearRelayed(now, r) {
			continue
		}
		f.core.noteUpstream(r.Announcement)
		if r.Announcement.Leaving {
			f.left = f.delivery.note()
		}
	}
	return position
}

// step answers what is due and returns when to come back.
func (f *fanout) step(now time.Time) time.Time {
	f.spread(now)
	next := now.Add(maxWait)
	if f.out.registry.Version() != f.out.version {
		next = earlier(next, f.out.at.Add(relayInterval))
	}
	revision, _ := f.core.newestText()
	f.polls, next = answerDue(now, f.polls, next, func(p *poll) *syncResponse {
		if now.Before(p.due) && !p.leaves && !f.hasNews(p.request, revision) {
			return nil
		}
		return f.answer(now, p)
	})
	return next
}

// answerDue replies to the polls for which answer returns something. It returns the
// others, and when the first of them is due unless next is earlier.
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

// hasNews reports whether an instance must learn something at once: settings, an
// upstream that leaves, or a request that crashes upstreams. Instances that come and go wait for the next answer. When a
// whole fleet starts, each of them would else wake all the others.
func (f *fanout) hasNews(r *syncRequest, revision uint64) bool {
	return r.Epoch != f.epoch || r.Instance.Revision < revision || r.Upstreams < f.urgent || f.core.group.quarantineAfter(r) != nil
}

func (f *fanout) answer(now time.Time, p *poll) *syncResponse {
	r := p.request
	members, upstreams := r.Members, r.Upstreams
	if r.Epoch != f.epoch {
		members, upstreams = 0, 0
	}
	revision, text := f.core.newestText()
	response := &syncResponse{
		Leader:    f.core.self.ControlAddress,
		Epoch:     f.epoch,
		Revision:  revision,
		Members:   f.membersSince(members),
		MembersAt: f.core.members.revision,
		Settled:   f.core.members.settled,
		HeardUpTo: p.heardUpTo,
		HeldMs:    now.Sub(p.arrivedAt).Milliseconds(),
		Detached:  !f.inTouch(now),
		Taken:     f.roster.Acknowledged(r.Instance.Name),
		leaves:    p.leaves,

		Quarantine: f.core.group.quarantineAfter(r),
	}
	if r.Instance.Revision < revision {
		response.Text = text
	}
	if !response.Detached {
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

// membersSince returns the instances that changed after a revision of the list.
func (f *fanout) membersSince(revision uint64) memberDelta {
	members := &f.core.members
	if revision > 0 {
		return memberDelta{list: members.changed(revision)}
	}
	if f.allAt != members.revision {
		list := members.changed(0)
		all, err := packMembers(list)
		if err != nil {
			eventPackFailed.Log(f.core.log, event.Fields{"error": err})
			return memberDelta{list: list}
		}
		f.all, f.allAt = all, members.revision
	}
	return f.all
}

// spread makes a batch of what changed of upstreams when one is due, at once when an
// upstream leaves.
func (f *fanout) spread(now time.Time) {
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

// currentVoters lists the voters of the log, or those that a leader named.
func (c *core) currentVoters() []consensus.Member {
	if voters := c.group.voters(); len(voters) > 0 {
		return voters
	}
	return c.voters
}
