package control

import (
	"context"
	"time"

	"celeryport/clock"
	"celeryport/event"
	"celeryport/quarantine"
	"celeryport/verdict"
)

// commandReportEvidence is the command by which instances report evidence to the leader.
const commandReportEvidence = "quarantine.report"

const (
	// maxEvidence limits the evidence queued on an instance, and the evidence in one
	// report.
	maxEvidence = 256
	// evidenceDelay is the time for which an instance collects evidence before it sends a
	// report, so that the evidence of an upstream that crashes with many requests running
	// is committed in one log entry.
	evidenceDelay = 10 * time.Millisecond
	// evidenceTimeout limits one attempt to reach the leader.
	evidenceTimeout = 2 * time.Second
)

// evidenceReport is the body of commandReportEvidence.
type evidenceReport struct {
	Evidence []quarantine.Evidence `json:"evidence"`
	Relayed  bool                  `json:"relayed,omitempty"` // set by a voter that forwards the report; the receiver must be the leader
}

// ReportEvidence implements Plane. It does not block; a background task delivers the
// evidence and retries while there is no leader.
func (n *Node) ReportEvidence(e quarantine.Evidence) {
	select {
	case n.evidence <- e:
	default:
		n.dropEvidence([]quarantine.Evidence{e})
	}
}

func (n *Node) dropEvidence(dropped []quarantine.Evidence) {
	if len(dropped) > 0 {
		eventEvidenceDropped.Log(n.log, event.Fields{"dropped": len(dropped), "waiting": maxEvidence})
	}
}

// runEvidence delivers the evidence of this instance until ctx is done.
func (n *Node) runEvidence(ctx context.Context) error {
	var waiting []quarantine.Evidence
	failing := false
	for {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case e := <-n.evidence:
				waiting = append(waiting, e)
			}
		}
		if !clock.Pause(ctx, evidenceDelay) {
			return ctx.Err()
		}
		waiting = n.gatherEvidence(waiting)
		if err := n.deliverEvidence(ctx, waiting); err != nil {
			if !failing {
				eventEvidenceUndelivered.Log(n.log, event.Fields{"error": err, "waiting": len(waiting)})
			}
			failing = true
			if !clock.Pause(ctx, n.opts.Timing.Retry) {
				return ctx.Err()
			}
			continue
		}
		waiting, failing = nil, false
	}
}

// gatherEvidence appends newly reported evidence and drops the oldest entries above the
// limit.
func (n *Node) gatherEvidence(waiting []quarantine.Evidence) []quarantine.Evidence {
	for {
		select {
		case e := <-n.evidence:
			waiting = append(waiting, e)
			continue
		default:
		}
		excess := max(0, len(waiting)-maxEvidence)
		n.dropEvidence(waiting[:excess])
		return waiting[excess:]
	}
}

func (n *Node) deliverEvidence(ctx context.Context, evidence []quarantine.Evidence) error {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	body, err := encode(evidenceReport{Evidence: evidence})
	if err != nil {
		return err
	}
	_, err = n.handlers[commandReportEvidence](ctx, body)
	return err
}

// reportEvidence is the handler of commandReportEvidence. An instance without a log knows
// a voter but not the leader, so a report may take two hops.
func (n *Node) reportEvidence(ctx context.Context, body []byte) ([]byte, error) {
	report, err := decode[evidenceReport](body)
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
		return nil, n.proposeEvidence(ctx, report.Evidence)
	}
	if report.Relayed || route.address == "" || route.address == n.opts.controlAddress() {
		return nil, errNotLeader
	}
	if body, err = encode(evidenceReport{Evidence: report.Evidence, Relayed: !route.attached}); err != nil {
		return nil, err
	}
	return n.Ask(ctx, route.address, commandReportEvidence, body)
}

func (r *evidenceReport) check() error {
	if len(r.Evidence) == 0 || len(r.Evidence) > maxEvidence {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "%d pieces of evidence, want 1 to %d", len(r.Evidence), maxEvidence)
	}
	for i := range r.Evidence {
		if r.Evidence[i].Outcome > quarantine.Answered {
			return verdict.Refuse(verdict.ReasonBadRequest, 0, "unknown outcome %d", r.Evidence[i].Outcome)
		}
		if len(r.Evidence[i].Parts) > quarantine.MaxParts {
			return verdict.Refuse(verdict.ReasonBadRequest, 0, "evidence about %d parts of a prompt, at most %d", len(r.Evidence[i].Parts), quarantine.MaxParts)
		}
	}
	return nil
}
