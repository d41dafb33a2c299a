package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	testStart  = time.Unix(1_800_000_000, 0)
	testTiming = Timing{Lease: 3 * time.Second, Margin: time.Second, Retention: time.Hour}
)

const (
	lease          = 3 * time.Second
	leaseAndMargin = 4 * time.Second // lease and margin
)

// settledTable returns a table and a time at which the table is settled.
func settledTable() (*Table, time.Time) {
	return NewTable(testStart, testTiming), testStart.Add(leaseAndMargin + 1)
}

func TestInForceWaitsForEveryLease(t *testing.T) {
	// A revision is considered in force while an instance still admits calls under an older
	// one: operators would believe that a key is revoked although it is still accepted.
	at := func(incarnation, revision uint64, state State) Instance {
		return Instance{Name: "i1", Incarnation: incarnation, Revision: revision, State: state}
	}
	tests := map[string]struct {
		prepare func(t *Table, now time.Time)
		after   time.Duration
		want    bool
	}{
		"holds a lease on an older revision": {func(t *Table, now time.Time) {
			t.Record(now, at(1, 1, Live))
			t.RecordLease(now, "i1")
		}, lease, false},
		"its lease has certainly lapsed": {func(t *Table, now time.Time) {
			t.Record(now, at(1, 1, Live))
			t.RecordLease(now, "i1")
		}, leaseAndMargin + 1, true},
		"confirmed": {func(t *Table, now time.Time) {
			t.Record(now, at(1, 1, Live))
			t.RecordLease(now, "i1")
			t.Record(now, at(1, 2, Live))
		}, 0, true},
		"left": {func(t *Table, now time.Time) {
			t.Record(now, at(1, 1, Live))
			t.RecordLease(now, "i1")
			t.Record(now, at(1, 1, Gone))
		}, 0, true},
		"draining still admits": {func(t *Table, now time.Time) {
			t.Record(now, at(1, 1, Draining))
			t.RecordLease(now, "i1")
		}, 0, false},
		"never had a lease": {func(t *Table, now time.Time) {
			t.Record(now, at(1, 1, Live))
		}, 0, true},
		"restarted while its previous process may be suspended": {func(t *Table, now time.Time) {
			t.Record(now, at(1, 1, Live))
			t.RecordLease(now, "i1")
			t.Record(now, at(2, 2, Live))
			t.RecordLease(now, "i1")
		}, lease, false},
		"the lease of the previous process has lapsed too": {func(t *Table, now time.Time) {
			t.Record(now, at(1, 1, Live))
			t.RecordLease(now, "i1")
			t.Record(now, at(2, 2, Live))
			t.RecordLease(now, "i1")
		}, leaseAndMargin + 1, true},
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
	// A new leader has received no reports yet, so no instance is outstanding. An instance
	// with a lease from the previous leader may still admit calls under old settings.
	table := NewTable(testStart, testTiming)
	if table.InForce(testStart.Add(lease), 1) {
		t.Fatal("in force before the leases of the previous leader can have lapsed")
	}
	if !table.InForce(testStart.Add(leaseAndMargin+1), 1) {
		t.Fatal("not in force after every lease has lapsed")
	}
}

func TestOlderIncarnationIsStale(t *testing.T) {
	// A late message of a dead process must not replace the report of its successor.
	table, now := settledTable()
	table.Record(now, Instance{Name: "i1", Incarnation: 2, Address: "new"})
	if table.Record(now, Instance{Name: "i1", Incarnation: 1, Address: "old"}) != Stale {
		t.Fatal("an older incarnation was accepted")
	}
	if found, _ := table.Find("i1"); found.Address != "new" {
		t.Fatalf("found %+v", found)
	}
}

func TestSilentInstancesAreGoneAndLaterRemoved(t *testing.T) {
	table, now := settledTable()
	table.Record(now, Instance{Name: "i1", Incarnation: 1})
	seen := table.Revision()
	table.Expire(now.Add(leaseAndMargin + 1))
	changed := table.Changed(seen)
	if len(changed) != 1 || changed[0].State != Gone {
		t.Fatalf("changed: %+v", changed)
	}
	table.Expire(now.Add(testTiming.Retention + 1))
	if table.Incarnation("i1") != 0 {
		t.Fatal("the gone instance was not removed")
	}
}

func TestIncarnationGrowsWhenClockIsSetBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.Uint64Range(0, 1<<52).Draw(t, "known")
		now := time.UnixMicro(rapid.Int64Range(0, 1<<52).Draw(t, "now"))
		if next := NextIncarnation(now, known); next <= known {
			t.Fatalf("incarnation %d after %d", next, known)
		}
	})
}

func TestNoInstanceAdmitsUnderAnOldRevisionOnceInForce(t *testing.T) {
	// Syncs are lost, answered late or answered twice, and instances restart. An instance
	// counts its lease from when it sent the sync, the table from when it answered. While
	// the table reports a revision as in force, no instance may have a valid lease with an
	// older revision.
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
			case 1: // restart; the previous process may resume
				holders[name] = append(holders[name], holder{incarnation: uint64(len(holders[name]) + 1)})
			default:
				if len(holders[name]) == 0 {
					continue
				}
				h := &holders[name][len(holders[name])-1]
				sentAt := now
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "held")))
				table.Record(now, Instance{Name: name, Incarnation: h.incarnation, Revision: h.revision})
				table.RecordLease(now, name)
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
						t.Fatalf("%s admits calls under revision %d although %d is in force", name, h.revision, current)
					}
				}
			}
		}
	})
}

func TestForwardedReportsDoNotRevertDraining(t *testing.T) {
	// An instance moves to another voter and starts to drain. The previous voter still
	// forwards an older report. If the table accepted it, callers would be sent to the
	// draining instance again.
	now := time.Unix(1_700_000_000, 0)
	table := NewTable(now, Timing{Lease: 4 * time.Second, Margin: time.Second, Retention: time.Minute})
	live := Instance{Name: "a", Incarnation: 1}
	draining := Instance{Name: "a", Incarnation: 1, State: Draining}
	table.RecordForwarded(now, 0, live)
	now = now.Add(time.Second)
	table.RecordForwarded(now, 0, draining)
	table.RecordForwarded(now, 500*time.Millisecond, live) // older, but arrives last
	table.RecordForwarded(now.Add(time.Second), 0, live)   // delayed in transit
	if got, _ := table.Find("a"); got.State != Draining {
		t.Errorf("the instance is %s, want draining", got.State)
	}
	gone := Instance{Name: "b", Incarnation: 1, State: Gone}
	table.RecordForwarded(now, 0, gone)
	table.RecordForwarded(now, 500*time.Millisecond, Instance{Name: "b", Incarnation: 1})
	if _, found := table.Find("b"); found {
		t.Error("an older report made an instance live again that had left")
	}
	if table.RecordForwarded(now, 0, Instance{Name: "a"}) != Stale {
		t.Error("an older incarnation was accepted")
	}
	if got := table.Outstanding(5); len(got) != 1 {
		t.Errorf("%d live instances have not confirmed revision 5, want 1", len(got))
	}
	table.Expire(now.Add(time.Minute))
	if _, found := table.Find("a"); found {
		t.Error("an instance is still live although no voter reports it")
	}
}
