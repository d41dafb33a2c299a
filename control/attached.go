package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/control/attachment"
	"celeryport/membership"
)

// attachedInstance is what a voter tells the leader of an instance attached to it.
type attachedInstance struct {
	Whole *membership.Instance `json:"w,omitempty"` // when the leader may not know it
	Brief *briefInstance       `json:"b,omitempty"` // else
	AgeMs int64                `json:"a,omitempty"` // since the instance stated it
}

// attachedWire encodes the statements of the attached instances.
func attachedWire(statements []attachment.Report) []attachedInstance {
	encoded := make([]attachedInstance, len(statements))
	for n := range statements {
		s := &statements[n]
		encoded[n].AgeMs = s.Age.Milliseconds()
		if s.Full {
			encoded[n].Whole = &s.Instance
		} else {
			encoded[n].Brief = briefOf(&s.Instance)
		}
	}
	return encoded
}

// acceptAttached takes in what a voter states of the instances attached to it, and
// returns those that must be stated whole and those with a higher incarnation here.
func (l *leader) acceptAttached(now time.Time, attached []attachedInstance) (unknown []string, superseded map[string]uint64) {
	for n := range attached {
		i, found := l.statedInstance(&attached[n])
		if !found {
			unknown = append(unknown, attached[n].Brief.Name)
			continue
		}
		if l.table.RecordForwarded(now, time.Duration(attached[n].AgeMs)*time.Millisecond, i) == membership.Stale {
			if superseded == nil {
				superseded = map[string]uint64{}
			}
			superseded[i.Name] = l.table.Incarnation(i.Name)
		}
	}
	return unknown, superseded
}

func (l *leader) statedInstance(a *attachedInstance) (membership.Instance, bool) {
	if a.Whole != nil {
		return *a.Whole, true
	}
	known, found := l.table.Known(a.Brief.Name)
	if !found || known.Incarnation < a.Brief.Incarnation {
		return known, false
	}
	return a.Brief.of(known), true
}

// takeAttached notes what the leader made of the statements in a sync of this voter.
func (f *fanout) takeAttached(sent []attachedInstance, r *syncResponse) {
	for _, name := range r.Unknown {
		f.roster.MarkUnknown(name)
	}
	for name, incarnation := range r.SupersededAttached {
		f.roster.MarkSuperseded(name, incarnation)
	}
	unknown := map[string]bool{}
	for _, name := range r.Unknown {
		unknown[name] = true
	}
	for n := range sent {
		brief := sent[n].Brief
		if brief == nil {
			brief = briefOf(sent[n].Whole)
		}
		if _, stale := r.SupersededAttached[brief.Name]; !stale && !unknown[brief.Name] {
			f.roster.Acknowledge(brief.Name, brief.Incarnation, brief.State)
		}
	}
}

// attachOrder lists the voters in the order in which this instance asks them, one that
// failed last.
func (c *core) attachOrder(failed string) []string {
	process := c.node.opts.Process
	return attachment.Order(c.voterAddresses(), c.members.list(), process.Name, process.AvailabilityZone, failed)
}

// betterVoter returns a voter that this instance may rather be attached to; empty if it
// is well where it is.
func (c *core) betterVoter(now time.Time) string {
	if c.position.leader == "" {
		return ""
	}
	return c.choice.Next(now, c.position.leader, c.attachOrder(""))
}

// reattach asks a voter that would suit better whether it hears a leader, and goes on
// with it if it does. Asking first costs little: a change of the voter brings the
// whole fleet anew, and while there is no leader at all every instance would go round
// the voters and get it from each of them.
func (n *Node) reattach(ctx context.Context) error {
	var target string
	if err := n.do(ctx, func(now time.Time) { target = n.core.betterVoter(now) }); err != nil || target == "" {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, n.opts.Timing.Search)
	defer cancel()
	response, err := n.callSync(bounded, target, &syncRequest{Attach: true, Probe: true})
	if err != nil {
		return errors.CombineErrors(n.do(ctx, func(now time.Time) { n.core.choice.RecordUnanswered(now) }), ctx.Err())
	}
	return n.do(ctx, func(now time.Time) { n.core.takeProbe(now, target, response) })
}

// takeProbe goes on with the voter that was asked, if it hears a leader, or at least has
// settings where this instance has none.
func (c *core) takeProbe(now time.Time, target string, r *syncResponse) {
	helps := !r.Detached || c.installed.tree == nil && r.Revision > 0
	if r.Redirect || !helps {
		return
	}
	c.position = syncPosition{leader: target}
	c.choice.RecordAttached(now, c.self.Name, target)
}
