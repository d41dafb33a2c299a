package control

import (
	"context"
	"time"

	"celeryport/clock"
	"celeryport/control/state"
	"celeryport/verdict"
)

// EvacuateRequest is the body of CommandEvacuate. Evacuated is false to use the upstreams of
// the availability zone again.
type EvacuateRequest struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
}

// inForceInterval is how often a waiting command checks whether the instances have applied an
// evacuation.
const inForceInterval = 10 * time.Millisecond

// SetEvacuated evacuates an availability zone or restores it, through the current leader. It
// returns once every instance that may serve requests has applied the order. Repeating an
// order changes nothing. After an error with the verdict MayHaveRun the outcome is unknown.
func (n *Node) SetEvacuated(ctx context.Context, zone string, evacuated bool) error {
	body, err := encode(EvacuateRequest{Zone: zone, Evacuated: evacuated})
	if err != nil {
		return err
	}
	_, err = n.handlers[CommandEvacuate](ctx, body)
	return err
}

// evacuate is the handler of CommandEvacuate.
func (n *Node) evacuate(ctx context.Context, body []byte) ([]byte, error) {
	request, err := decode[EvacuateRequest](body)
	if err != nil {
		return nil, err
	}
	done := make(chan proposalResult, 1)
	err = n.whileLeading(ctx, func(now time.Time, g *group) error {
		l := n.core.leader
		if !l.knowsZone(request.Zone) {
			return verdict.Refuse(verdict.ReasonNotFound, 0, "no instance or upstream is in an availability zone %q", request.Zone)
		}
		if !l.votersSupport(state.VersionEvacuation) {
			return errOldVoters
		}
		order := &state.Evacuate{Zone: request.Zone, Evacuated: request.Evacuated}
		g.propose(now, &state.Command{At: now.Round(0).UTC(), Evacuate: order}, done)
		return nil
	})
	if err != nil {
		return nil, err
	}
	outcome, err := n.awaitProposal(ctx, done)
	if err != nil {
		return nil, err
	}
	return n.awaitEvacuation(ctx, outcome.Evacuated)
}

// awaitEvacuation waits until no instance sends work by an older list of evacuated zones. An
// instance that can't be reached delays this until its lease has ended.
func (n *Node) awaitEvacuation(ctx context.Context, version uint64) ([]byte, error) {
	for {
		var inForce bool
		var status ZonesStatus
		err := n.whileLeading(ctx, func(now time.Time, _ *group) error {
			l := n.core.leader
			if inForce = l.table.EvacuationInForce(now, version); inForce {
				status = l.zonesStatus()
			}
			return nil
		})
		if err != nil {
			return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonNotLeader, "the order is accepted but not known to be in force; send it again")
		}
		if inForce {
			return encode(status)
		}
		if !clock.Pause(ctx, inForceInterval) {
			return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout, "the order is accepted but not yet in force on every instance; send it again")
		}
	}
}

// listZones is the handler of CommandZones.
func (n *Node) listZones(ctx context.Context, _ []byte) ([]byte, error) {
	var status ZonesStatus
	err := n.asLeader(ctx, func(_ time.Time, l *leader) { status = l.zonesStatus() })
	if err != nil {
		return nil, err
	}
	return encode(status)
}
