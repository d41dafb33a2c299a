package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Node is one voter or learner. It is a pure state machine and not safe for
// concurrent use. Every method that takes now must be given the node's own
// monotonic clock, which never goes back.
//
// Calls may come between Ready and Advance; what they cause is in the next
// batch.
type Node struct {
	id       ID
	timing   Timing
	rand     *rand.Rand
	trailing uint64

	log      entryLog
	configs  configHistory
	snapshot Snapshot // newest that is installed

	term   uint64
	vote   ID
	role   Role
	leader ID

	started bool
	// refuseUntil guards the leader's lease: until then this node grants no vote
	// and starts no election, unless the leader itself asked for one.
	refuseUntil time.Time
	electionAt  time.Time
	ballot      ballot
	lead        leadership

	messages []Message
	reads    []ReadState
	received *Snapshot // from the leader, not yet installed by the driver
	handed   handedOut
}

// New returns a node that goes on from what is synced in its storage.
//
// A voter whose disk is lost must come back under a new ID: it has forgotten
// its votes and entries, and as its old self it could help to elect a leader
// without entries that it once confirmed. Three things enforce this: the ID
// comes from the identity file in the data folder, which is made anew with a
// random part when it is missing; Step drops messages to any other ID; and
// Initial is only passed on the first start of a new group.
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

// bootstrap starts a new group with its first configuration as the first entry,
// so that members which start without it get it like any other entry.
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
	// A commit index beyond the log is left by a crash between the hard state
	// and the snapshot that was received with it; the leader sends it again.
	n.log.commit = max(n.log.commit, min(s.HardState.Commit, n.log.last().index))
	n.term = max(n.term, n.log.last().term)
	n.handed.hardState = n.hardState()
	return n.configs.record(s.Entries)
}

// checkContiguous refuses entries that do not follow index one by one, or whose
// terms go back.
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

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// start arms the timers at the first call that tells the time. A node that just
// started grants no vote for ElectionMin: before the restart it may have
// confirmed a heartbeat on which a leader's lease rests.
func (n *Node) start(now time.Time) {
	if n.started {
		return
	}
	n.started = true
	n.refuseUntil = now.Add(n.timing.ElectionMin)
	n.resetElection(now)
}

// Tick lets time pass. It must be called at NextTick or soon after.
func (n *Node) Tick(now time.Time) {
	n.start(now)
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

// NextTick returns when Tick must be called next. Zero means at once.
func (n *Node) NextTick() time.Time {
	if !n.started {
		return time.Time{}
	}
	if n.role == Leader {
		return n.lead.nextTick(n.timing)
	}
	return n.electionAt
}

// resetElection draws a new election timeout. The draw keeps two voters from
// campaigning in step and splitting the votes for ever.
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
