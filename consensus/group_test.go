package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"
)

// leader returns the running leader with the highest term, or nil.
func (w *network) leader() *server {
	var found *server
	for _, s := range w.servers {
		if s.running() && s.node.Status().Role == Leader &&
			(found == nil || s.node.Status().Term > found.node.Status().Term) {
			found = s
		}
	}
	return found
}

// electLeader waits for a leader that has committed an entry of its term.
func (w *network) electLeader() *server {
	w.t.Helper()
	w.waitFor(20*time.Second, "a leader", func() bool {
		l := w.leader()
		return l != nil && l.node.HasLease(l.clock(w.now))
	})
	return w.leader()
}

func (w *network) propose(s *server, data string) bool {
	if !s.running() {
		return false
	}
	_, _, err := s.node.Propose(s.clock(w.now), []byte(data))
	w.processReady(s)
	return err == nil
}

// commit proposes changes to the leader and waits until it has applied them.
func (w *network) commit(count int) {
	w.t.Helper()
	leader := w.electLeader()
	for range count {
		if !w.propose(leader, fmt.Sprintf("c%d", len(w.committed))) {
			w.t.Fatalf("%s refused a proposal", leader.id)
		}
		if w.rng.IntN(8) == 0 {
			w.run(2 * time.Millisecond)
		}
	}
	last := leader.node.Status().Last
	w.waitFor(5*time.Second, "a commit", func() bool { return leader.appliedIndex >= last })
}

// compact takes a snapshot on a server and compacts its log, as the driver does.
func (w *network) compact(s *server) {
	data, _ := json.Marshal(s.applied)
	snap, err := s.node.SnapshotAt(s.appliedIndex, data)
	if err != nil {
		return
	}
	s.disk.Snapshot = snap
	s.disk.Entries = slices.DeleteFunc(slices.Clone(s.disk.Entries), func(e Entry) bool { return e.Index <= snap.Index })
	if err := s.node.Compact(snap); err != nil {
		w.t.Fatalf("compact: %v", err)
	}
}

// waitForConvergence removes all network faults and waits until all running
// members have applied the same entries.
func (w *network) waitForConvergence() {
	w.t.Helper()
	w.cut, w.loss, w.duplication = nil, 0, 0
	leader := w.electLeader()
	before := len(w.committed)
	w.commit(1)
	config := leader.node.Status().Configuration
	w.waitFor(60*time.Second, "all members have applied the committed log", func() bool {
		for _, m := range config.Members() {
			if s := w.server(m.ID); s.running() && s.appliedIndex < uint64(len(w.committed)) {
				return false
			}
		}
		return true
	})
	if len(w.committed) <= before {
		w.t.Fatalf("nothing was committed after the network faults were removed")
	}
	w.checkHistory(config)
}

// checkHistory compares the entries applied by each member with the committed
// log.
func (w *network) checkHistory(config Configuration) {
	w.t.Helper()
	var want []string
	for _, e := range w.committed {
		if e.Kind == Proposal {
			want = append(want, string(e.Data))
		}
	}
	for _, m := range config.Members() {
		s := w.server(m.ID)
		if s.running() && !slices.Equal(s.applied, want) {
			w.t.Fatalf("%s applied %d changes, %d are committed, or they differ", s.id, len(s.applied), len(want))
		}
	}
}

func TestGroupElectsAndCommits(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		w := newNetwork(t, uint64(size), size)
		w.commit(100)
		w.waitForConvergence()
	}
}
