package control

import (
	"time"

	"celeryport/control/relay"
	"celeryport/upstream"
)

// relayInterval is the shortest time between two batches of a leader. What
// changes more often goes out once.
const relayInterval = 250 * time.Millisecond

// outbox turns the news of a registry into batches for others.
type outbox struct {
	registry *upstream.Registry
	sender   *relay.Sender
	version  uint64    // of the registry at the last batch
	at       time.Time // of the last batch
}

func newOutbox(registry *upstream.Registry) outbox {
	return outbox{registry: registry, sender: relay.NewSender()}
}

// gather makes a batch of what changed since the last one.
func (o *outbox) gather(now time.Time) error {
	changes, version := o.registry.ChangesSince(now, o.version)
	o.version, o.at = version, now
	return o.sender.Add(now, changes)
}

// due reports whether there is news for a batch at now.
func (o *outbox) due(now time.Time) bool {
	return o.registry.Version() != o.version && now.Sub(o.at) >= relayInterval
}

// inbox is what a leader receives from one incarnation of an instance.
type inbox struct {
	incarnation uint64
	receiver    *relay.Receiver
}

// takeInbox takes in what an instance heard of upstreams and returns the position up
// to which it is known here. A gap, for instance after a message was lost, is answered
// by position 0, at which the instance sends everything again.
func takeInbox(inboxes map[string]inbox, now time.Time, p *poll) (relayed []upstream.Relayed, position uint64) {
	i := &p.request.Instance
	box := inboxes[i.Name]
	if box.receiver == nil || box.incarnation != i.Incarnation {
		box = inbox{incarnation: i.Incarnation, receiver: relay.NewReceiver()}
	}
	relayed, err := box.receiver.Apply(p.request.heard, now.Sub(p.arrivedAt))
	if err != nil {
		box.receiver = relay.NewReceiver()
	}
	inboxes[i.Name] = box
	return relayed, box.receiver.Position()
}

// takeHeard takes in what an instance heard and returns the position up to which
// the leader has it.
func (l *leader) takeHeard(now time.Time, p *poll) uint64 {
	relayed, position := takeInbox(l.inboxes, now, p)
	for _, r := range relayed {
		l.core.logUpstream(r.Announcement)
		if l.core.known.HearRelayed(now, r) {
			l.core.noteUpstream(r.Announcement)
		}
	}
	return position
}

// takeUpstreams takes in what the leader heard of upstreams. The delta was on its
// way for at most the time of the whole call without the time that the leader
// held it.
func (c *core) takeUpstreams(now, sentAt time.Time, r *syncResponse) {
	way := max(0, now.Sub(sentAt)-time.Duration(r.HeldMs)*time.Millisecond)
	relayed, err := c.received.Apply(r.upstreams, way)
	if err != nil {
		c.received = relay.NewReceiver() // everything is sent again
		return
	}
	for _, one := range relayed {
		c.logUpstream(one.Announcement)
		if c.known.HearRelayed(now, one) {
			c.noteUpstream(one.Announcement)
		}
	}
}
