package control

import (
	"time"

	"celeryport/control/relay"
	"celeryport/upstream"
)

// relayInterval is the shortest time between two batches of an outbox. Several changes of
// an upstream within it are sent as one.
const relayInterval = 250 * time.Millisecond

// outbox turns the changes of a registry into batches for other instances.
type outbox struct {
	registry *upstream.Registry
	sender   *relay.Sender
	version  uint64    // version of the registry at the last batch
	at       time.Time // time of the last batch
}

func newOutbox(registry *upstream.Registry) outbox {
	return outbox{registry: registry, sender: relay.NewSender()}
}

// gather adds a batch of the changes since the last one.
func (o *outbox) gather(now time.Time) error {
	changes, version := o.registry.ChangesSince(now, o.version)
	o.version, o.at = version, now
	return o.sender.Add(now, changes)
}

// due reports whether there are changes and a batch may be sent at now.
func (o *outbox) due(now time.Time) bool {
	return o.registry.Version() != o.version && now.Sub(o.at) >= relayInterval
}

// inbox receives the batches of one incarnation of an instance.
type inbox struct {
	incarnation uint64
	receiver    *relay.Receiver
}

// receiveInbox applies the announcements sent by an instance and returns the position up
// to which they are known here. After a gap, for instance because a message was lost, the
// position is 0, upon which the instance sends everything again.
func receiveInbox(inboxes map[string]inbox, now time.Time, p *poll) (relayed []upstream.Relayed, position uint64) {
	i := &p.request.Instance
	box := inboxes[i.Name]
	if box.receiver == nil || box.incarnation != i.Incarnation {
		box = inbox{incarnation: i.Incarnation, receiver: relay.NewReceiver()}
	}
	relayed, err := box.receiver.Apply(p.request.announcements, now.Sub(p.arrivedAt))
	if err != nil {
		box.receiver = relay.NewReceiver()
	}
	inboxes[i.Name] = box
	return relayed, box.receiver.Position()
}

// receiveAnnouncements applies the announcements sent by an instance and returns the position up
// to which the leader has them.
func (l *leader) receiveAnnouncements(now time.Time, p *poll) uint64 {
	relayed, position := receiveInbox(l.inboxes, now, p)
	for _, r := range relayed {
		l.core.markDeparted(&r.Announcement)
		l.core.logUpstream(r.Announcement)
		if l.core.known.ApplyRelayed(now, r) {
			l.core.markUpstreamChanged(r.Announcement)
		}
	}
	return position
}

// applyUpstreams applies the announcements sent by the leader. The delta was in transit
// for at most the duration of the call minus the time for which the leader held it.
func (c *core) applyUpstreams(now, sentAt time.Time, r *syncResponse) {
	way := max(0, now.Sub(sentAt)-time.Duration(r.HeldMs)*time.Millisecond)
	relayed, err := c.received.Apply(r.upstreams, way)
	if err != nil {
		c.received = relay.NewReceiver() // everything is sent again
		return
	}
	for _, one := range relayed {
		c.markDeparted(&one.Announcement)
		c.logUpstream(one.Announcement)
		if c.known.ApplyRelayed(now, one) {
			c.markUpstreamChanged(one.Announcement)
		}
	}
}
