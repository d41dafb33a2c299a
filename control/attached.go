package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/control/attachment"
	"celeryport/membership"
)

// attachedInstance is a voter's statement to the leader about an instance attached to it.
type attachedInstance struct {
	Whole *membership.Instance `json:"w,omitempty"` // set if the leader may not know the instance
	Brief *briefInstance       `json:"b,omitempty"` // set otherwise
	AgeMs int64                `json:"a,omitempty"` // time since the instance's statement
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

// acceptAttached applies a voter's statements about its attached instances. It returns
// those that must be stated in full and those of which a higher incarnation is known here.
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

// applyAttachedResult records the leader's response to the statements in a sync of this
// voter.
func (f *fanout) applyAttachedResult(sent []attachedInstance, r *syncResponse) {
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

// attachOrder lists the voters in this instance's order of preference, with the one that
// failed last at the end.
func (c *core) attachOrder(failed string) []string {
	process := c.node.opts.Process
	return attachment.Order(c.voterAddresses(), c.members.list(), process.Name, process.AvailabilityZone, failed)
}

// preferredVoter returns a voter that this instance prefers to its current one; empty if
// there is none.
func (c *core) preferredVoter(now time.Time) string {
	if c.position.leader == "" {
		return ""
	}
	return c.choice.Next(now, c.position.leader, c.attachOrder(""))
}

// reattach probes a preferred voter and switches to it if it is in contact with a leader.
// The probe is cheap, whereas a switch transfers the whole fleet again: while there is no
// leader at all, every instance would cycle through the voters and fetch the fleet from
// each of them.
func (n *Node) reattach(ctx context.Context) error {
	var target string
	if err := n.do(ctx, func(now time.Time) { target = n.core.preferredVoter(now) }); err != nil || target == "" {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, n.opts.Timing.Search)
	defer cancel()
	response, err := n.callSync(bounded, target, &syncRequest{Attach: true, Probe: true})
	if err != nil {
		return errors.CombineErrors(n.do(ctx, func(now time.Time) { n.core.choice.RecordUnanswered(now) }), ctx.Err())
	}
	return n.do(ctx, func(now time.Time) { n.core.applyProbe(now, target, response) })
}

// applyProbe switches to the probed voter if it is in contact with a leader, or has newer
// settings than this instance whose own voter has no contact either. The voter that
// answered first after a loss of all power may have missed the last changes.
func (c *core) applyProbe(now time.Time, target string, r *syncResponse) {
	newer := (c.installed.tree == nil || c.choice.Detached()) && r.Revision > c.installed.revision()
	if r.Redirect || r.Detached && !newer {
		return
	}
	c.position = syncPosition{leader: target}
	c.choice.RecordAttached(now, c.self.Name, target)
}
