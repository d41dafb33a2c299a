package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Node is one voter or learner. It is a deterministic state machine and not safe
// for concurrent use. The now argument of every method must come from the node's
// own monotonic clock, which never goes backwards.
//
// Methods may be called between Ready and Advance; their effects appear in the
// next batch.
type Node struct {
	id       ID
	timing   Timing
	rand     *rand.Rand
	trailing uint64

	log      entryLog
	configs  configHistory
	snapshot Snapshot // newest installed snapshot

	term   uint64
	vote   ID
	role   Role
	leader ID

	started bool
	// refuseUntil protects the leader's lease. Before this time the node grants
	// no vote and starts no election, unless the leader itself requested it.
	refuseUntil time.Time
	electionAt  time.Time
	ballot      ballot
	leadership  leaderState

	messages    []Message
	reads       []ReadState
	received    *Snapshot // received from the leader, not yet installed by the driver
	outstanding outstandingBatch
}

// New returns a node that resumes from its synced storage.
//
// A voter that lost its disk must rejoin under a new ID. It no longer knows its
// votes and entries, and under its old ID it could help to elect a leader that
// lacks entries it had confirmed. Three things enforce this: the ID comes from
// the identity file in the data folder, which is created with a random part when
// it is missing; Step drops messages addressed to any other ID; and Initial is
// passed only on the first start of a new group.
func New(cfg Config, storage Storage) (*Node, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	n := &Node{id: cfg.ID, timing: cfg.Timing, rand: cfg.Rand, trailing: cfg.Trailing}
	if storage.empty() && cfg.Initial.Voter(cfg.ID) {
		n.bootstrap(cfg.Initial)
		return n, nil
	}
	if err := n.restore(storage); err != nil {
		return nil, err
	}
	return n, nil
}

func (s *Storage) empty() bool {
	return s.HardState == HardState{} && s.Snapshot.Index == 0 && len(s.Entries) == 0
}

// bootstrap starts a new group with its initial configuration as the first log
// entry. Members that start without a configuration receive it by replication.
func (n *Node) bootstrap(initial Configuration) {
	first := Entry{Index: 1, Term: 1, Kind: Reconfiguration, Data: initial.encode()}
	n.term = 1
	n.log.append(first)
	n.log.commit = 1
	n.configs.changes = []configChange{{1, initial}}
}

func (n *Node) restore(s Storage) error {
	n.term, n.vote = s.HardState.Term, s.HardState.Vote
	n.snapshot = s.Snapshot
	n.log.reset(position{s.Snapshot.Index, s.Snapshot.Term})
	n.configs.reset(s.Snapshot.Configuration)
	if err := checkContiguous(s.Snapshot.Index, s.Entries); err != nil {
		return errors.Wrap(err, "stored log")
	}
	n.log.append(s.Entries...)
	n.log.stable = n.log.last().index
	// Earlier versions stored the commit index of a snapshot before the snapshot. After a
	// crash between the two, entries that the snapshot replaces would count as committed.
	if s.HardState.Commit <= n.log.last().index {
		n.log.commit = max(n.log.commit, s.HardState.Commit)
	}
	n.term = max(n.term, n.log.last().term)
	n.outstanding.hardState = HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	return n.configs.record(s.Entries)
}

// checkContiguous rejects entries that do not follow index consecutively, or
// whose terms decrease.
func checkContiguous(index uint64, entries []Entry) error {
	term := uint64(0)
	for _, e := range entries {
		index++
		if e.Index != index {
			return errors.Newf("entry %d stands where %d belongs", e.Index, index)
		}
		if e.Term < term {
			return errors.Newf("entry %d goes back from term %d to %d", e.Index, term, e.Term)
		}
		term = e.Term
	}
	return nil
}

// startTimers sets the timers on the first call that passes the time. A node that
// was just started grants no vote for ElectionMin, because before the restart it
// may have confirmed a heartbeat on which a leader's lease depends.
func (n *Node) startTimers(now time.Time) {
	if n.started {
		return
	}
	n.started = true
	n.refuseUntil = now.Add(n.timing.ElectionMin)
	n.resetElection(now)
}

// Tick processes timers that have expired. It must be called at or soon after
// NextTick.
func (n *Node) Tick(now time.Time) {
	n.startTimers(now)
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.electionAt) {
		return
	}
	n.resetElection(now)
	if n.configs.current().Voter(n.id) && !now.Before(n.refuseUntil) {
		n.campaign(now, ballotPreVote)
	}
}

// NextTick returns the time of the next required Tick. Zero means immediately.
func (n *Node) NextTick() time.Time {
	if !n.started {
		return time.Time{}
	}
	if n.role == Leader {
		return n.leadership.nextTick(n.timing)
	}
	return n.electionAt
}

// resetElection sets a new random election timeout. Randomness prevents two
// voters from campaigning at the same time repeatedly and splitting the votes.
func (n *Node) resetElection(now time.Time) {
	wait := n.timing.ElectionMin
	wait += time.Duration(n.rand.Int64N(int64(n.timing.ElectionMin)))
	n.electionAt = now.Add(wait)
	if n.electionAt.Before(n.refuseUntil) {
		n.electionAt = n.refuseUntil
	}
}

func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}
