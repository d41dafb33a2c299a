package control

import (
	"context"
	"slices"
	"time"

	"celeryport/clock"
	"celeryport/control/state"
	"celeryport/event"
	"celeryport/membership"
	"celeryport/quarantine"
	"celeryport/verdict"
)

const (
	// batchDelay is the time for which a leader collects evidence for one log entry. When
	// an upstream crashes, several instances report the requests they had there. If each
	// report were decided separately, a request that merely ran at the same time as the one
	// that caused the crash could be quarantined before it.
	batchDelay = 50 * time.Millisecond
	// maxBatched limits the evidence in one log entry.
	maxBatched = 4096
	// maxBatchedParts limits the parts of prompts in one log entry. The parts of further evidence are
	// left out.
	maxBatchedParts = 16384
)

// evidenceBatch is evidence that a leader proposes in one entry.
type evidenceBatch struct {
	evidence []quarantine.Evidence
	done     chan struct{} // closed when the outcome is known
	err      error         // set before done is closed
	parts    int           // in evidence
}

func (b *evidenceBatch) add(evidence []quarantine.Evidence) {
	for i := range evidence {
		b.parts += len(evidence[i].Parts)
	}
	if b.parts > maxBatchedParts {
		evidence = withoutParts(evidence)
	}
	b.evidence = append(b.evidence, evidence...)
}

// withoutParts returns the part of evidence that is about whole requests.
func withoutParts(evidence []quarantine.Evidence) []quarantine.Evidence {
	var requests []quarantine.Evidence
	for _, e := range evidence {
		if e.Request != (quarantine.Fingerprint{}) {
			e.Parts = nil
			requests = append(requests, e)
		}
	}
	return requests
}

// withoutIdentities returns evidence that voters of all builds decide on alike.
func withoutIdentities(evidence []quarantine.Evidence) []quarantine.Evidence {
	bare := slices.Clone(evidence)
	for i := range bare {
		bare[i].Identity = 0
	}
	return bare
}

var (
	// errOldVoters rejects entries that voters of an older version cannot apply and would
	// stop at.
	errOldVoters = verdict.Refuse(verdict.ReasonConflict, time.Second, "not every voter is upgraded")
	// errBatchFull rejects evidence while too much is already queued.
	errBatchFull = verdict.Refuse(verdict.ReasonQueueFull, time.Second, "too much evidence waits")
)

// proposeEvidence commits evidence in one entry with the evidence that other instances
// report at about the same time.
func (n *Node) proposeEvidence(ctx context.Context, evidence []quarantine.Evidence) error {
	var batch *evidenceBatch
	err := n.whileLeading(ctx, func(_ time.Time, _ *group) error {
		l := n.core.leader
		if !l.votersSupport(state.VersionEvidence) {
			return errOldVoters
		}
		if l.evidence == nil {
			l.evidence = &evidenceBatch{done: make(chan struct{})}
			go n.commitBatch(l)
		}
		batch = l.evidence
		if len(batch.evidence)+len(evidence) > maxBatched {
			return errBatchFull
		}
		if !l.votersSupport(state.VersionParts) {
			evidence = withoutParts(evidence)
		}
		if !l.votersSupport(state.VersionIdentities) {
			evidence = withoutIdentities(evidence)
		}
		batch.add(evidence)
		return nil
	})
	if err != nil {
		return err
	}
	select {
	case <-batch.done:
		return batch.err
	case <-n.stopped:
		return errStopped
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.ReasonTimeout, "the evidence was not committed in time")
	}
}

// commitBatch proposes the batch of a leader after batchDelay, and then as soon as the control goroutine
// has time for it: until it is taken, all further evidence joins it.
func (n *Node) commitBatch(l *leader) {
	clock.Pause(context.Background(), batchDelay)
	var batch *evidenceBatch
	done := make(chan proposalResult, 1)
	err := n.do(context.Background(), func(now time.Time) {
		batch, l.evidence = l.evidence, nil
		if n.core.leader != l {
			done <- proposalResult{err: errNotLeader}
			return
		}
		if len(batch.evidence) == 0 {
			done <- proposalResult{}
			return
		}
		n.core.group.propose(now, &state.Command{At: now.Round(0).UTC(), Evidence: batch.evidence}, done)
	})
	if err != nil {
		return // the node has stopped, and with it all that wait for the batch
	}
	ctx, cancel := context.WithTimeout(context.Background(), evidenceTimeout)
	defer cancel()
	_, batch.err = n.awaitProposal(ctx, done)
	close(batch.done)
	n.settleEvidence(l)
}

// settleEvidence commits an entry without evidence after the settling time if parts of prompts may be
// blamed by then.
func (n *Node) settleEvidence(l *leader) {
	unsettled := false
	err := n.do(context.Background(), func(time.Time) {
		unsettled = n.core.leader == l && !l.settling && n.core.group.machine.QuarantineUnsettled()
		l.settling = l.settling || unsettled
	})
	if err != nil || !unsettled {
		return // the node has stopped, this voter no longer leads, or nothing is left to decide
	}
	clock.Pause(context.Background(), quarantine.FleetLimits.Parts.Settling)
	err = n.do(context.Background(), func(time.Time) { l.settling = false })
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), evidenceTimeout)
		defer cancel()
		err = n.proposeEvidence(ctx, []quarantine.Evidence{{}})
	}
	if err != nil {
		eventEvidenceUndelivered.Log(n.log, event.Fields{"error": err, "waiting": 0})
	}
}

// votersSupport reports whether all live voters can read log entries of a version.
func (l *leader) votersSupport(version int) bool {
	for _, i := range l.table.Changed(0) {
		if i.Voter && i.State != membership.Gone && i.LogVersion < version {
			return false
		}
	}
	return true
}
