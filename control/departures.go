package control

import (
	"context"
	"slices"
	"time"

	"celeryport/clock"
	"celeryport/control/state"
	"celeryport/departure"
	"celeryport/event"
	"celeryport/upstream"
	"celeryport/verdict"
)

// commandStoreDepartures is the command by which instances report the upstreams that leave to the leader.
const commandStoreDepartures = "upstream.depart"

const (
	// maxDepartures limits the departures queued on an instance, and those in one report.
	maxDepartures = 1024
	// departureTimeout limits one attempt to deliver a report.
	departureTimeout = time.Second
)

// departureReport is the body of commandStoreDepartures.
type departureReport struct {
	Departed []departure.Departure `json:"departed"`
	Relayed  bool                  `json:"relayed,omitempty"` // set by a voter that forwards the report; the receiver must be the leader
}

// departureResult is the response to commandStoreDepartures.
type departureResult struct {
	OldVoters bool `json:"old_voters,omitempty"` // nothing was stored, since a voter can't read such entries
}

// departing is a departure whose upstream waits for the acknowledgement until ctx is done.
type departing struct {
	departure.Departure
	ctx  context.Context
	done chan<- error // has room for the result
}

// storeDeparture returns when a majority of the voters has stored a departure. After an error it may have done so;
// the upstream repeats its request then.
func (n *Node) storeDeparture(ctx context.Context, d departure.Departure) error {
	if !d.Valid() {
		return errNoDeparture
	}
	stored := false
	err := n.do(ctx, func(time.Time) {
		resolved, known := n.core.resolveIncarnation(d)
		stored = known && n.core.hasStored(resolved)
	})
	if err != nil || stored {
		return err
	}
	n.waitingDepartures.Add(1)
	defer n.waitingDepartures.Add(-1)
	done := make(chan error, 1)
	select {
	case n.departing <- departing{d, ctx, done}:
	case <-n.stopped:
		return errStopped
	case <-ctx.Done():
		return errNotStored
	}
	select {
	case err := <-done:
		return err
	case <-n.stopped:
		return errStopped
	case <-ctx.Done():
		return errNotStored
	}
}

// errNoDeparture rejects a departure that no upstream can have.
var errNoDeparture = verdict.Refuse(verdict.ReasonBadRequest, 0, "no incarnation of an upstream is named, or by more than %d bytes", departure.MaxNameBytes)

// errNotStored is returned when no majority has stored a departure before the deadline.
var errNotStored = verdict.New(verdict.MayHaveRun, verdict.ReasonNoQuorum, "no majority of the voters stored it in time")

// resolveIncarnation returns a departure with the incarnation that is known here if it states none, and whether it
// names one then.
func (c *core) resolveIncarnation(d departure.Departure) (departure.Departure, bool) {
	if d.Incarnation > upstream.UnknownIncarnation {
		return d, true
	}
	known, found := c.known.Find(d.Name)
	if found {
		d.Incarnation = known.Incarnation
	}
	return d, found
}

// hasStored reports whether a departure is known to be stored by a majority.
func (c *core) hasStored(d departure.Departure) bool {
	return c.group != nil && c.group.machine.HasDeparted(d)
}

// runDepartures delivers the departures reported to this instance until ctx is done. Those that arrive while a report
// is under way share the next one, so that hundreds of upstreams that leave at once need few entries of the log, and
// few calls while there is no leader.
func (n *Node) runDepartures(ctx context.Context) error {
	var waiting []departing
	failing := false
	for {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case first := <-n.departing:
				waiting = append(waiting, first)
			}
		}
		if waiting = n.gatherDepartures(waiting); len(waiting) == 0 {
			continue
		}
		if err := n.deliverDepartures(ctx, waiting); err != nil {
			if !failing {
				eventDeparturesNotStored.Log(n.log, event.Fields{"error": err, "waiting": len(waiting)})
			}
			failing = true
			if !clock.Pause(ctx, n.opts.Timing.Retry) {
				return ctx.Err()
			}
			continue
		}
		for _, w := range waiting {
			w.done <- nil
		}
		waiting, failing = nil, false
	}
}

// gatherDepartures adds the departures reported since, and leaves out those whose upstream waits no longer.
func (n *Node) gatherDepartures(waiting []departing) []departing {
	for len(waiting) < maxDepartures {
		select {
		case next := <-n.departing:
			waiting = append(waiting, next)
			continue
		default:
		}
		break
	}
	return slices.DeleteFunc(waiting, func(d departing) bool { return d.ctx.Err() != nil })
}

func (n *Node) deliverDepartures(ctx context.Context, waiting []departing) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	report := departureReport{Departed: make([]departure.Departure, len(waiting))}
	for i := range waiting {
		report.Departed[i] = waiting[i].Departure
	}
	body, err := encode(report)
	if err != nil {
		return err
	}
	answer, err := n.storeDepartures(ctx, body)
	var result *departureResult
	if err == nil {
		result, err = decode[departureResult](answer)
	}
	if isUnknownCommand(err) || err == nil && result.OldVoters {
		return n.propagate(ctx) // until all voters are upgraded, the memory of the leader has to do
	}
	return err
}

// isUnknownCommand reports whether an instance of an older version has rejected a command.
func isUnknownCommand(err error) bool {
	return err != nil && verdict.From(err).Reason == verdict.ReasonNotFound
}

// storeDepartures is the handler of commandStoreDepartures. An instance without a log knows a voter but not the leader,
// so a report may take two hops.
func (n *Node) storeDepartures(ctx context.Context, body []byte) ([]byte, error) {
	report, err := decode[departureReport](body)
	if err != nil {
		return nil, err
	}
	if err := report.check(); err != nil {
		return nil, err
	}
	route, err := n.routeToLeader(ctx)
	if err != nil {
		return nil, err
	}
	if route.leads {
		return n.proposeDepartures(ctx, report.Departed)
	}
	if report.Relayed || route.address == "" || route.address == n.opts.controlAddress() {
		return nil, errNotLeader
	}
	report.Relayed = !route.attached
	if body, err = encode(report); err != nil {
		return nil, err
	}
	return n.Ask(ctx, route.address, commandStoreDepartures, body)
}

func (r *departureReport) check() error {
	if len(r.Departed) == 0 || len(r.Departed) > maxDepartures {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "%d departures, want 1 to %d", len(r.Departed), maxDepartures)
	}
	for _, d := range r.Departed {
		if !d.Valid() {
			return errNoDeparture
		}
	}
	return nil
}

// proposeDepartures commits the departures that the log does not hold yet.
func (n *Node) proposeDepartures(ctx context.Context, reported []departure.Departure) ([]byte, error) {
	done := make(chan proposalResult, 1)
	var result departureResult
	err := n.whileLeading(ctx, func(now time.Time, g *group) error {
		if result.OldVoters = !n.core.leader.votersSupport(state.VersionDepartures); result.OldVoters {
			done <- proposalResult{}
			return nil
		}
		missing := n.core.missingDepartures(reported)
		if len(missing) == 0 {
			done <- proposalResult{}
			return nil
		}
		g.propose(now, &state.Command{At: now.Round(0).UTC(), Departures: &state.Departures{Departed: missing}}, done)
		return nil
	})
	if err != nil {
		return nil, err
	}
	if _, err := n.awaitProposal(ctx, done); err != nil {
		return nil, err
	}
	return encode(result)
}

// missingDepartures returns the departures that the log does not hold.
func (c *core) missingDepartures(reported []departure.Departure) []departure.Departure {
	var missing []departure.Departure
	for _, d := range reported {
		if d, _ = c.resolveIncarnation(d); !c.hasStored(d) {
			missing = append(missing, d)
		}
	}
	return missing
}
