package wal

import (
	"flag"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"celeryport/consensus"
)

// TestMain sets a fixed seed so that test runs are reproducible. The flags of
// rapid override it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "3s")
	flag.Parse()
	os.Exit(m.Run())
}

// model is the expected state: everything stored by calls that returned.
type model struct {
	t     *rapid.T
	rng   *rand.Rand
	disk  *memFS
	log   *Log
	acked consensus.Storage
	voter consensus.ID
}

// The machine loses power, or the process is killed, between any two changes of the
// disk, many times. A voter must find the last stored state, with or without the
// effect of the one call that had not returned.
func TestCrashesLoseNothingThatWasStored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		m := &model{t: t, disk: newMemFS(seed), rng: rand.New(rand.NewPCG(seed, 9))}
		m.reopen(m.acked)
		for range 100 {
			if m.rng.IntN(4) == 0 {
				m.disk.steps = m.rng.IntN(9)
			}
			next := m.call()
			if m.log.Failed() == nil {
				m.acked = next
				m.disk.steps = -1
				continue
			}
			m.crash()
			for m.rng.IntN(2) == 0 { // also crash during the next start
				m.disk.steps = m.rng.IntN(12)
				o := m.options()
				_, _, _ = Open(folder, "ortigia", m.disk, o)
				m.crash()
			}
			m.reopen(next)
		}
	})
}

// options returns options with a new source of randomness for each start, as in
// separate processes.
func (m *model) options() Options {
	o, _ := options(200)
	o.Random = rand.NewChaCha8([32]byte{0: byte(m.rng.Uint32()), 1: byte(m.rng.Uint32())})
	return o
}

// crash ends the process and, in half of the cases, also simulates a power failure.
func (m *model) crash() {
	if m.rng.IntN(2) == 0 {
		m.disk.powerFailure()
	}
	m.disk.restart()
}

// reopen restarts and checks that the state is the acknowledged one, with or without
// the interrupted call.
func (m *model) reopen(interrupted consensus.Storage) {
	o := m.options()
	l, state, err := Open(folder, "ortigia", m.disk, o)
	if err != nil {
		m.t.Fatalf("open after a crash: %v", err)
	}
	if m.voter != "" && state.Identity.Voter != m.voter {
		m.t.Fatalf("voter %s came back as %s", m.voter, state.Identity.Voter)
	}
	found := state.Storage
	if !same(found, m.acked) && !same(found, interrupted) {
		m.t.Fatalf("found\n%+v\nstored\n%+v\nor with the interrupted call\n%+v", found, m.acked, interrupted)
	}
	m.log, m.acked, m.voter = l, clone(found), state.Identity.Voter
}

// call performs one random write and returns the resulting state.
func (m *model) call() consensus.Storage {
	next := clone(m.acked)
	last := next.Snapshot.Index + uint64(len(next.Entries))
	kind := m.rng.IntN(5)
	switch {
	case kind == 0 && last > 0: // a snapshot of the voter's own state
		next.Snapshot = consensus.Snapshot{Index: last, Term: termAt(next, last), Configuration: voters("v1"), Data: []byte("{}")}
		next.Entries = nil
		_ = m.log.SaveSnapshot(next.Snapshot)
		return next
	case kind == 1: // a snapshot from the leader that conflicts with the tail of this log
		ahead := uint64(1 + m.rng.IntN(len(next.Entries)+2))
		next.Snapshot = consensus.Snapshot{Index: next.Snapshot.Index + ahead, Term: next.HardState.Term + 1, Configuration: voters("v2")}
		next.Entries = nil
		_ = m.log.SaveSnapshot(next.Snapshot)
		return next
	}
	// New entries that start at some index after the snapshot.
	from := last + 1 - uint64(m.rng.IntN(min(2, len(next.Entries))+1))
	next.HardState.Term++
	added := entries(from, from+uint64(m.rng.IntN(4)), next.HardState.Term)
	next.Entries = append(next.Entries[:from-next.Snapshot.Index-1], added...)
	_ = m.log.Append(&next.HardState, added)
	return next
}

func termAt(s consensus.Storage, index uint64) uint64 {
	if index == s.Snapshot.Index {
		return s.Snapshot.Term
	}
	return s.Entries[index-s.Snapshot.Index-1].Term
}

func clone(s consensus.Storage) consensus.Storage {
	s.Entries = append([]consensus.Entry(nil), s.Entries...)
	return s
}

func same(a, b consensus.Storage) bool {
	if len(a.Entries) == 0 && len(b.Entries) == 0 {
		a.Entries, b.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}
