package consensus

import (
	"testing"
	"time"
)

// All voters lose power after a thousand changes, and start again.
func TestRestartAfterAThousandChanges(t *testing.T) {
	w := newNetwork(t, 6, 3)
	w.commit(1000)
	w.compact(w.servers[1])
	for _, s := range w.servers {
		w.crash(s)
	}
	for _, s := range w.servers {
		w.restart(s)
	}
	w.agree()
	if got := len(w.servers[0].applied); got != 1001 {
		t.Fatalf("%d changes after the restart", got)
	}
}

// A voter is away while 5,000 changes go by and the others compact their logs.
// It would be behind for minutes, or for ever, if it needed each change.
func TestSnapshotCatchUpIsOneTransfer(t *testing.T) {
	w := newNetwork(t, 7, 3)
	w.commit(5)
	late := w.follower()
	late.up = false
	for range 10 {
		w.commit(500)
	}
	w.compact(w.electLeader())
	w.run(10 * time.Second)
	w.restart(late)
	w.until(3*time.Second, "caught up", func() bool { return late.at >= uint64(len(w.committed)) })
	if w.snapshots != 1 || w.posted[SnapshotRequest] != 1 {
		t.Fatalf("%d snapshots were installed, %d sent", w.snapshots, w.posted[SnapshotRequest])
	}
	w.agree()
}

// The one message with the snapshot is lost. The voter would stay behind for
// ever, and the next loss of a voter would stop all changes.
func TestLostSnapshotIsSentAgain(t *testing.T) {
	w := newNetwork(t, 14, 3)
	w.commit(5)
	late := w.follower()
	late.up = false
	w.commit(50)
	w.compact(w.electLeader())
	w.restart(late)
	w.until(5*time.Second, "a snapshot on its way", func() bool { return w.posted[SnapshotRequest] > 0 })
	w.wire = nil
	w.until(10*time.Second, "caught up", func() bool { return late.at >= uint64(len(w.committed)) })
}

// A voter comes back with a higher term than the leader's, from an election that
// nobody else remembers. It drops the leader's messages as old, and would stay
// out of the group for ever.
func TestVoterWithAHigherTermComesBack(t *testing.T) {
	w := newNetwork(t, 15, 3)
	w.commit(5)
	stray := w.follower()
	w.crash(stray)
	stray.disk.HardState = HardState{Term: 50, Vote: stray.id}
	w.run(time.Second)
	w.restart(stray)
	w.run(10 * time.Second)
	w.commit(1)
	w.agree()
}

// The leader hands over before it shuts down. If the target led while the old
// lease still held, two issuers would be active; if the target never answers,
// the group may not stay without a leader.
func TestTransferWaitsForTheLease(t *testing.T) {
	w := newNetwork(t, 11, 3)
	w.commit(5)
	old, target := w.electLeader(), w.follower()
	if err := old.node.TransferLeadership(old.clock(w.now), target.id); err != nil {
		t.Fatal(err)
	}
	w.pump(old)
	w.until(3*time.Second, "handover", func() bool { return w.leader() == target })
	w.agree()

	old, target = w.electLeader(), w.follower()
	target.up = false
	if err := old.node.TransferLeadership(old.clock(w.now), target.id); err != nil {
		t.Fatal(err)
	}
	if w.propose(old, "during the handover") {
		t.Fatal("a leader that hands over took a proposal")
	}
	w.run(4 * time.Second)
	w.commit(1)
}

// A deposed leader that has not noticed answers a read from its old state. The
// reader would miss a change that another was told is accepted.
func TestReadOfADeposedLeaderIsNotAnswered(t *testing.T) {
	w := newNetwork(t, 12, 3)
	w.commit(5)
	old := w.electLeader()
	read := func(s *server, context uint64) {
		if err := s.node.ReadIndex(s.clock(w.now), context); err != nil {
			t.Fatal(err)
		}
		w.pump(s)
	}
	read(old, 1)
	read(old, 2)
	w.run(50 * time.Millisecond)
	want := ReadState{Context: 2, Index: uint64(len(w.committed))}
	if len(old.reads) != 2 || old.reads[1] != want {
		t.Fatalf("reads %+v, want %+v", old.reads, want)
	}
	w.cut = alone(old.id)
	read(old, 3)
	w.run(3 * time.Second)
	w.commit(1)
	w.cut = nil
	w.run(time.Second)
	if len(old.reads) != 2 {
		t.Fatalf("a deposed leader answered %+v", old.reads[2:])
	}
}

// The leader's host dies. Changes stall and leases are not renewed until another
// leads; the wait must be short for every draw of the timeouts.
func TestNewLeaderInBoundedTime(t *testing.T) {
	const bound = 4 * time.Second // the lease of the old one, a timeout and a second try
	var longest time.Duration
	for seed := range uint64(60) {
		w := newNetwork(t, seed, 3+2*int(seed%2))
		w.commit(2)
		w.run(w.timing.ElectionMin)
		w.crash(w.electLeader())
		died := w.now
		w.until(bound, "a leader with a lease", func() bool {
			l := w.leader()
			return l != nil && l.node.HasLease(l.clock(w.now))
		})
		longest = max(longest, w.now.Sub(died))
	}
	t.Logf("longest of 60: %v", longest)
}
