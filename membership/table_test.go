package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	testStart  = time.Unix(1_800_000_000, 0)
	testTiming = Timing{Lease: 3 * time.Second, Margin: time.Second, Kept: time.Hour}
)

const (
	lease = 3 * time.Second
	whole = 4 * time.Second // lease and margin
)

// settledTable is a table that is old enough to count lapses.
func settledTable() (*Table, time.Time) {
	return NewTable(testStart, testTiming), testStart.Add(whole + 1)
}

func TestInForceWaitsForEveryLease(t *testing.T) {
	// A revision counts as in force while some instance still admits by an older
	// one: operators believe that a key is revoked, and it still opens doors.
	at := func(incarnation, revision uint64, state State) Instance {
		return Instance{Name: "i1", Incarnation: incarnation, Revision: revision, State: state}
	}
	tests := map[string]struct {
		prepare func(t *Table, now time.Time)
		after   time.Duration
		want    bool
	}{
		"holds a lease on an older revision": {func(t *Table, now time.Time) {
			t.Heard(now, at(1, 1, Live))
			t.Granted(now, "i1")
		}, lease, false},
		"its lease has surely lapsed": {func(t *Table, now time.Time) {
			t.Heard(now, at(1, 1, Live))
			t.Granted(now, "i1")
		}, whole + 1, true},
		"confirmed": {func(t *Table, now time.Time) {
			t.Heard(now, at(1, 1, Live))
			t.Granted(now, "i1")
			t.Heard(now, at(1, 2, Live))
		}, 0, true},
		"said goodbye": {func(t *Table, now time.Time) {
			t.Heard(now, at(1, 1, Live))
			t.Granted(now, "i1")
			t.Heard(now, at(1, 1, Gone))
		}, 0, true},
		"draining still admits": {func(t *Table, now time.Time) {
			t.Heard(now, at(1, 1, Draining))
			t.Granted(now, "i1")
		}, 0, false},
		"never had a lease": {func(t *Table, now time.Time) {
			t.Heard(now, at(1, 1, Live))
		}, 0, true},
		"restarted while its former process may only be frozen": {func(t *Table, now time.Time) {
			t.Heard(now, at(1, 1, Live))
			t.Granted(now, "i1")
			t.Heard(now, at(2, 2, Live))
			t.Granted(now, "i1")
		}, lease, false},
		"the former process's lease has lapsed too": {func(t *Table, now time.Time) {
			t.Heard(now, at(1, 1, Live))
			t.Granted(now, "i1")
			t.Heard(now, at(2, 2, Live))
			t.Granted(now, "i1")
		}, whole + 1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table, now := settledTable()
			test.prepare(table, now)
			if got := table.InForce(now.Add(test.after), 2); got != test.want {
				t.Fatalf("in force: %v, want %v; outstanding %+v", got, test.want, table.Outstanding(2))
			}
		})
	}
}

func TestNewLeaderWaitsOneLease(t *testing.T) {
	// A new leader has heard nobody yet, so nobody is outstanding. An instance
	// that its predecessor granted a lease may still admit by old settings.
	table := NewTable(testStart, testTiming)
	if table.InForce(testStart.Add(lease), 1) {
		t.Fatal("in force before the former leader's leases can have lapsed")
	}
	if !table.InForce(testStart.Add(whole+1), 1) {
		t.Fatal("not in force after every lease has lapsed")
	}
}

func TestOlderIncarnationIsStale(t *testing.T) {
	// A late message of a dead process must not hide its successor.
	table, now := settledTable()
	table.Heard(now, Instance{Name: "i1", Incarnation: 2, Address: "new"})
	if table.Heard(now, Instance{Name: "i1", Incarnation: 1, Address: "old"}) != Stale {
		t.Fatal("an older incarnation was taken")
	}
	if found, _ := table.Find("i1"); found.Address != "new" {
		t.Fatalf("found %+v", found)
	}
}

func TestSilentInstancesAreGoneAndLaterForgotten(t *testing.T) {
	table, now := settledTable()
	table.Heard(now, Instance{Name: "i1", Incarnation: 1})
	seen := table.Revision()
	table.Expire(now.Add(whole + 1))
	changed := table.Changed(seen)
	if len(changed) != 1 || changed[0].State != Gone {
		t.Fatalf("changed: %+v", changed)
	}
	table.Expire(now.Add(testTiming.Kept + 1))
	if table.Incarnation("i1") != 0 {
		t.Fatal("kept for ever")
	}
}

func TestIncarnationGrowsWhateverTheClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.Uint64Range(0, 1<<52).Draw(t, "known")
		now := time.UnixMicro(rapid.Int64Range(0, 1<<52).Draw(t, "now"))
		if next := NextIncarnation(now, known); next <= known {
			t.Fatalf("incarnation %d after %d", next, known)
		}
	})
}

func TestNoInstanceAdmitsByAnOldRevisionOnceInForce(t *testing.T) {
	// Syncs are lost, answered late or twice, and instances restart. The holder
	// counts its lease from its sending, the table from its answer. Whenever the
	// table says in force, no holder may still have a valid lease on less.
	type holder struct {
		incarnation, revision uint64
		until                 time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		table, now := settledTable()
		current := uint64(1)
		holders := map[string][]holder{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause")))
			name := rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "name")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				current++
			case 1: // restarts, and the former process may wake again
				holders[name] = append(holders[name], holder{incarnation: uint64(len(holders[name]) + 1)})
			default:
				if len(holders[name]) == 0 {
					continue
				}
				h := &holders[name][len(holders[name])-1]
				sentAt := now
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "held")))
				table.Heard(now, Instance{Name: name, Incarnation: h.incarnation, Revision: h.revision})
				table.Granted(now, name)
				if rapid.Bool().Draw(t, "answered") {
					h.revision, h.until = current, sentAt.Add(lease)
				}
			}
			if !table.InForce(now, current) {
				continue
			}
			for name, all := range holders {
				for _, h := range all {
					if h.revision < current && now.Before(h.until) {
						t.Fatalf("%s admits by %d although %d is in force", name, h.revision, current)
					}
				}
			}
		}
	})
}

func TestPassedStatementsDoNotTakeAnInstanceBack(t *testing.T) {
	// An instance moves to another voter and begins to drain. The former voter still
	// states what it heard before. If that counted, callers would be sent to the draining
	// instance again.
	now := time.Unix(1_700_000_000, 0)
	table := NewTable(now, Timing{Lease: 4 * time.Second, Margin: time.Second, Kept: time.Minute})
	live := Instance{Name: "a", Incarnation: 1}
	draining := Instance{Name: "a", Incarnation: 1, State: Draining}
	table.Passed(now, 0, live)
	now = now.Add(time.Second)
	table.Passed(now, 0, draining)
	table.Passed(now, 500*time.Millisecond, live) // older, and last
	table.Passed(now.Add(time.Second), 0, live)   // a message that was long on its way
	if got, _ := table.Find("a"); got.State != Draining {
		t.Errorf("the instance is %s, want draining", got.State)
	}
	gone := Instance{Name: "b", Incarnation: 1, State: Gone}
	table.Passed(now, 0, gone)
	table.Passed(now, 500*time.Millisecond, Instance{Name: "b", Incarnation: 1})
	if _, found := table.Find("b"); found {
		t.Error("an instance that said goodbye lives again by an older statement")
	}
	if table.Passed(now, 0, Instance{Name: "a"}) != Stale {
		t.Error("a former incarnation is taken")
	}
	if got := table.Outstanding(5); len(got) != 1 {
		t.Errorf("%d live instances have not confirmed revision 5, want 1", len(got))
	}
	table.Expire(now.Add(time.Minute))
	if _, found := table.Find("a"); found {
		t.Error("an instance that nobody states lives on")
	}
}
