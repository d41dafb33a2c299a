package consensus

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

var threeVoters = Configuration{Voters: []Member{{ID: "v1"}, {ID: "v2"}, {ID: "v3"}}}

// bench steps one node by hand.
type bench struct {
	t    *testing.T
	node *Node
	now  time.Time
}

// newBench starts v1 of three voters with a log whose entries have the given
// terms, behind the entry of the configuration.
func newBench(t *testing.T, term uint64, terms ...uint64) *bench {
	t.Helper()
	log := []Entry{{Index: 1, Term: 1, Kind: Reconfiguration, Data: threeVoters.encode()}}
	for i, entryTerm := range terms {
		log = append(log, Entry{Index: uint64(i + 2), Term: entryTerm})
	}
	cfg := Config{ID: "v1", Timing: DefaultTiming(), Rand: rand.New(rand.NewPCG(1, 1))}
	n, err := New(cfg, Storage{HardState: HardState{Term: term, Commit: 1}, Entries: log})
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, node: n, now: trueStart}
	n.Tick(b.now)
	b.settle()
	return b
}

// settle takes all batches and returns the last.
func (b *bench) settle() Batch {
	var last Batch
	for b.node.HasReady() {
		last = b.node.Ready()
		b.node.Advance()
	}
	return last
}

func (b *bench) step(m Message) {
	b.t.Helper()
	m.To = "v1"
	if err := b.node.Step(b.now, m); err != nil {
		b.t.Fatal(err)
	}
}

// lead makes the node the leader of the next term.
func (b *bench) lead() {
	b.node.campaign(b.now, ballotVote)
	b.settle()
	b.step(Message{Kind: VoteResponse, From: "v2", Term: b.node.term})
	b.settle()
	if b.node.role != Leader {
		b.t.Fatal("not elected")
	}
}

// A leader finds an entry of an older term on a majority and counts it as
// committed; another leader, elected without it, replaces it. An accepted change
// would revert.
func TestOldTermIsNotCommittedByCounting(t *testing.T) {
	b := newBench(t, 3, 2)
	b.lead()
	b.step(Message{Kind: AppendResponse, From: "v2", Term: 4, Index: 2})
	if got := b.node.Status().Commit; got != 1 {
		t.Fatalf("commit %d by counting an entry of term 2 in term 4", got)
	}
	b.step(Message{Kind: AppendResponse, From: "v2", Term: 4, Index: 3})
	if got := b.node.Status().Commit; got != 3 {
		t.Fatalf("commit %d with an own entry on a majority", got)
	}
}

// A voter helps to elect another leader while the old one's lease, which rests
// on this voter, still holds. Two issuers would act at once.
func TestVotersProtectTheLease(t *testing.T) {
	timing := DefaultTiming()
	tests := []struct {
		name    string
		prepare func(b *bench)
		wait    time.Duration
		force   bool
		granted bool
	}{
		{"just started", func(*bench) {}, timing.ElectionMin - 1, false, false},
		{"started long ago", func(*bench) {}, timing.ElectionMin, false, true},
		{"heard the leader", hearLeader, timing.ElectionMin - 1, false, false},
		{"heard it long ago", hearLeader, timing.ElectionMin, false, true},
		{"asked by the leader", hearLeader, 0, true, true},
		{"led with a lease", leadAndStepDown, timing.Lease - 1, false, false},
		{"led with a lapsed lease", leadAndStepDown, timing.Lease, false, true},
	}
	for _, test := range tests {
		for _, kind := range []MessageKind{PreVoteRequest, VoteRequest} {
			if test.force && kind == PreVoteRequest {
				continue
			}
			b := newBench(t, 3)
			test.prepare(b)
			b.now = b.now.Add(test.wait)
			term := b.node.term
			b.step(Message{Kind: kind, From: "v3", Term: 20, Index: 99, LogTerm: 19, Force: test.force})
			granted := false
			for _, m := range b.settle().Messages {
				granted = granted || m.To == "v3" && !m.Reject
			}
			if granted != test.granted {
				t.Errorf("%s: granted %v to message kind %d", test.name, granted, kind)
			}
			if !granted && b.node.term != term {
				t.Errorf("%s: a refused candidate moved the term from %d to %d", test.name, term, b.node.term)
			}
		}
	}
}

func hearLeader(b *bench) {
	b.now = b.now.Add(10 * time.Second)
	b.step(Message{Kind: AppendRequest, From: "v2", Term: 3, Index: 1, LogTerm: 1})
	b.settle()
}

// leadAndStepDown leaves the node a follower with a lease that runs from now.
func leadAndStepDown(b *bench) {
	b.now = b.now.Add(10 * time.Second)
	b.lead()
	b.step(Message{Kind: AppendResponse, From: "v2", Term: 4, Index: 2, Round: 1})
	b.settle()
	if !b.node.HasLease(b.now) {
		b.t.Fatal("no lease")
	}
	b.step(Message{Kind: AppendResponse, From: "v3", Term: 5, Reject: true})
	b.settle()
}

// A voter grants its vote, crashes, and grants it to another in the same term.
func TestVoteIsSyncedWithItsAnswer(t *testing.T) {
	b := newBench(t, 3)
	b.now = b.now.Add(time.Minute)
	b.step(Message{Kind: VoteRequest, From: "v3", Term: 4, Index: 1, LogTerm: 1})
	batch := b.settle()
	if batch.HardState == nil || batch.HardState.Vote != "v3" || len(batch.Messages) != 1 {
		t.Fatalf("the answer leaves with %+v", batch.HardState)
	}
	b.step(Message{Kind: VoteRequest, From: "v2", Term: 4, Index: 9, LogTerm: 3})
	if batch = b.settle(); !batch.Messages[0].Reject {
		t.Fatal("two votes in one term")
	}
}

// Entries follow a snapshot before that is on the disk. Confirmed at once, they
// would be lost with the snapshot at a crash although the leader counted them.
func TestNothingBehindAnUnsyncedSnapshotIsConfirmed(t *testing.T) {
	b := newBench(t, 3)
	snapshot := Snapshot{Index: 9, Term: 3, Configuration: threeVoters}
	b.step(Message{Kind: SnapshotRequest, From: "v2", Term: 3, Snapshot: &snapshot})
	b.step(Message{Kind: AppendRequest, From: "v2", Term: 3, Index: 9, LogTerm: 3, Entries: []Entry{{Index: 10, Term: 3}}})
	batch := b.node.Ready()
	for _, m := range batch.Messages {
		if !m.Reject && m.Index > 9 {
			t.Fatalf("confirmed %+v along with the snapshot", m)
		}
	}
	if batch.Snapshot == nil || len(batch.Entries) > 0 {
		t.Fatalf("batch %+v", batch)
	}
}

// The new voter in place of a lost one gets the messages for its old self.
func TestMessageForAnotherVoterIsDropped(t *testing.T) {
	b := newBench(t, 3)
	b.now = b.now.Add(time.Minute)
	m := Message{Kind: VoteRequest, From: "v3", To: "v1-old", Term: 9, Index: 9, LogTerm: 9}
	if err := b.node.Step(b.now, m); err != nil || b.node.HasReady() {
		t.Fatalf("it answered; %v", err)
	}
}

// A leader changes the voters before it knows what its predecessor committed.
// Two changes by two leaders could then have majorities without a common voter.
func TestChangeOfVotersWaitsForAnOwnCommit(t *testing.T) {
	b := newBench(t, 3)
	b.lead()
	err := b.node.ProposeConfig(b.now, Configuration{Voters: threeVoters.Voters[:2]})
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Cause != RefusedTermStart {
		t.Fatalf("got %v", err)
	}
}

// A confirmation takes long to come back. Counted from its arrival, the lease
// would outlast the time for which the voter refuses other candidates.
func TestLeaseRunsFromTheSend(t *testing.T) {
	b := newBench(t, 3)
	b.lead()
	sent := b.now
	b.now = b.now.Add(500 * time.Millisecond)
	b.step(Message{Kind: AppendResponse, From: "v2", Term: 4, Index: 2, Round: 1})
	b.settle()
	if got, want := b.node.Status().LeaseUntil, sent.Add(b.node.timing.Lease); !got.Equal(want) {
		t.Fatalf("lease until %v, want %v", got.Sub(sent), want.Sub(sent))
	}
	b.step(Message{Kind: AppendResponse, From: "v3", Term: 4, Index: 2, Round: 9})
	if got := b.node.Status().LeaseUntil; got.After(sent.Add(b.node.timing.Lease)) {
		t.Fatal("a round that was never sent renewed the lease")
	}
}
