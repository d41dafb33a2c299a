package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/consensus"
	"celeryport/control/agreement"
	"celeryport/control/state"
	"celeryport/event"
	"celeryport/quarantine"
	"celeryport/settings"
	"celeryport/verdict"
	"celeryport/wal"
)

// group is a voter's part in the control group: it drives consensus, writes the log to
// disk and applies committed entries to the state machine. Only the control goroutine uses
// it.
type group struct {
	core        *core
	id          consensus.ID
	log         *wal.Log          // nil between two attempts to reopen the folder
	stored      consensus.Storage // read at start and passed to consensus
	node        *consensus.Node   // nil until the group is founded, and after a disk failure
	machine     *state.Machine
	founding    *consensus.Configuration
	founders    []settings.Member // the voters that found the group, while this one waits for that
	acceptor    agreement.Acceptor
	decided     *consensus.Configuration // founding configuration that this voter had decided without being a member
	groupSeen   bool                     // an instance that has settings has contacted this voter, so there is a group
	excluded    bool                     // the group was founded without the identity of this folder
	proposals   proposals
	peers       map[consensus.ID]*peer
	senders     map[consensus.ID]string // address that each sender stated for itself
	appliedTerm uint64                  // term of the last applied entry
	compacted   uint64                  // index of the last snapshot
	reads       reads
	quarantined *quarantine.List // list returned last
	failed      error            // why the voter stopped
	retryAt     time.Time        // when to try to reopen the folder

	reopenReason string // why the last attempt to reopen the folder failed, as logged

	storedDepartures []storedDeparture // departures of stored entries that may be uncommitted
}

// idleWait is the time until the next step when nothing is scheduled.
const idleWait = time.Hour

// start begins to take part in consensus. A voter without an initial configuration waits
// until a leader contacts it.
func (g *group) start(initial consensus.Configuration) error {
	if err := g.machine.Restore(g.stored.Snapshot.Data); err != nil {
		return err
	}
	g.machine.Skip(g.stored.Snapshot.Index)
	g.core.node.claimVoter.enter(g.machine.Epoch())
	g.compacted = g.stored.Snapshot.Index
	g.appliedTerm = g.stored.Snapshot.Term
	g.storedDepartures = storedDepartures(g.stored.Entries)
	node, err := consensus.New(consensus.Config{
		ID:       g.id,
		Timing:   g.core.timing.Consensus,
		Initial:  initial,
		Rand:     g.core.node.opts.Random,
		Trailing: g.core.timing.Compact,
	}, g.stored)
	if err != nil {
		return errors.Wrap(err, "start consensus")
	}
	g.node = node
	g.stored = consensus.Storage{}
	return nil
}

// step advances the time of consensus and processes all resulting batches.
func (g *group) step(now time.Time) (time.Time, error) {
	if g.node == nil {
		return g.reopenIfDue(now)
	}
	if !now.Before(g.node.NextTick()) {
		g.node.Tick(now)
	}
	for g.node != nil && g.node.HasReady() {
		if err := g.process(now); err != nil {
			return now, err
		}
	}
	if g.node == nil {
		return now.Add(idleWait), nil
	}
	g.compactIfDue(now)
	return g.node.NextTick(), nil
}

// process handles one batch in the order that consensus requires: sync, send, apply.
func (g *group) process(now time.Time) error {
	batch := g.node.Ready()
	if err := g.store(&batch); err != nil {
		g.fail(now, err)
		return nil
	}
	g.sendAll(batch.Messages)
	if err := g.install(batch.Snapshot); err != nil {
		return err
	}
	for i := range batch.Committed {
		if err := g.apply(&batch.Committed[i]); err != nil {
			return err
		}
	}
	g.reads.confirmed(batch.ReadStates)
	g.node.Advance()
	return nil
}

// fail stops this voter's part in consensus after a failed write or sync. Nothing written
// since the last successful sync can be relied on, and a sync repeated after a failed one
// can succeed without having written anything; so nothing is synced again in place. The
// instance continues with another voter as leader until reopen has rewritten everything to
// new files.
func (g *group) fail(now time.Time, err error) {
	eventStorageFailed.Log(g.core.log, event.Fields{"error": err, "folder": g.core.installed.folder.path})
	g.failed = err
	g.retryAt = now.Add(reopenInterval)
	g.node = nil
	g.proposals.abandon(verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonStorageFailed, "the log could not be written"))
}

// install replaces the state by a snapshot from the leader.
func (g *group) install(s *consensus.Snapshot) error {
	if s == nil {
		return nil
	}
	if err := g.machine.Restore(s.Data); err != nil {
		return err
	}
	g.machine.Skip(s.Index)
	g.core.node.claimVoter.enter(g.machine.Epoch())
	g.appliedTerm = s.Term
	g.compacted = s.Index
	g.proposals.completeCovered(s.Index)
	return nil
}

// apply executes one committed entry.
func (g *group) apply(e *consensus.Entry) error {
	g.appliedTerm = e.Term
	switch e.Kind {
	case consensus.Reconfiguration:
		return g.reconfigure(e)
	case consensus.Empty:
		g.machine.Skip(e.Index)
		return nil
	}
	outcome, err := g.machine.Apply(e.Index, e.Term, e.Data)
	if err != nil {
		return err
	}
	if outcome.Kind == state.Accepted && outcome.Revision == e.Index {
		current := g.machine.Current()
		eventApplied.Log(g.core.log, event.Fields{
			"revision": outcome.Revision, "base": current.Base, "order": current.OrderID, "version": current.Version,
		})
	}
	g.proposals.committed(e.Index, e.Term, outcome)
	return nil
}

// quarantineAfter returns the quarantined requests, nil if the sender of the sync has the
// current version.
func (g *group) quarantineAfter(r *syncRequest) *quarantine.List {
	version := g.machine.QuarantineVersion()
	if r.Quarantine == nil || version <= *r.Quarantine {
		return nil
	}
	if g.quarantined.Version() != version {
		g.quarantined = g.machine.Quarantine()
	}
	return g.quarantined
}

// reconfigure applies a committed change of the members.
func (g *group) reconfigure(e *consensus.Entry) error {
	c, err := consensus.DecodeConfiguration(e.Data)
	if err != nil {
		return err
	}
	eventVoterChange.Log(g.core.log, event.Fields{"voters": c.Voters, "learners": c.Learners})
	g.machine.Configure(e.Index, c)
	g.core.node.claimVoter.enter(g.machine.Epoch())
	g.dropPeers(&c)
	return nil
}

func (g *group) close() {
	for _, p := range g.peers {
		p.close()
	}
	g.closeLog()
}

// closeLog closes the log, which is nil until it is opened again.
func (g *group) closeLog() {
	if g.log == nil {
		return
	}
	if err := g.log.Close(); err != nil && !errors.Is(err, g.failed) {
		eventStorageFailed.Log(g.core.log, event.Fields{"error": err, "folder": g.core.installed.folder.path})
	}
	g.log = nil
}
