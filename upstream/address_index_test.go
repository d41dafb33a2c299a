package upstream

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a record that is missing from the address index: that upstream would stay in
// service after another one started at its address.
func TestAddressIndexMatchesRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := NewRegistry(testFreshFor), testStart
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			a := Announcement{
				Name:        fmt.Sprint("engine-", rapid.IntRange(0, 5).Draw(t, "name")),
				Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
				Sequence:    uint64(rapid.IntRange(1, 9).Draw(t, "sequence")),
				Address:     fmt.Sprint("10.0.0.", rapid.IntRange(0, 3).Draw(t, "address")),
				Leaving:     rapid.Bool().Draw(t, "leaving"),
			}
			if rapid.Bool().Draw(t, "relayed") {
				r.ApplyRelayed(now, Relayed{Announcement: a})
			} else {
				r.Apply(now, a)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "expire") == 0 {
				now = now.Add(retentionFactor * testFreshFor / 2)
				r.Expire(now)
			}
		}
		listed := 0
		for address, records := range r.byAddress {
			for _, rec := range records {
				if rec.announcement.Address != address || r.records[rec.announcement.Name] != rec {
					t.Fatalf("address %s has a stale or misplaced record: %+v", address, rec.announcement)
				}
				listed++
			}
		}
		if listed != len(r.records) {
			t.Fatalf("the address index has %d of %d upstreams", listed, len(r.records))
		}
	})
}

// Guards against an upstream that is taken out of service for good because the only announcement of a dead one at its address
// arrives late, and against a dead one that stays in service beside its successor.
func TestOnlyAnUpstreamThatGoesOnSupersedesOthers(t *testing.T) {
	const interval = 1200 * time.Millisecond
	announce := func(name string, sequence uint64) Announcement {
		return Announcement{Name: name, Incarnation: 1, Sequence: sequence, Address: "10.0.0.1:80"}
	}
	r, now := NewRegistry(testFreshFor), testStart
	for n := range uint64(5) {
		r.ApplyRelayed(now.Add(time.Duration(n)*interval), Relayed{Announcement: announce("runs", n+1)})
	}
	now = now.Add(4*interval + supersedeAfter)
	r.Apply(now, announce("dead", 7))
	r.Apply(now, announce("dead", 9))
	for n := range uint64(3) {
		now = now.Add(interval)
		r.ApplyRelayed(now, Relayed{Announcement: announce("runs", n+6), Age: interval / 4})
		r.Apply(now, announce("dead", 8))
	}
	if state := stateOf(t, r, now, "runs"); state != Fresh {
		t.Errorf("beside a late announcement the upstream that runs is %v", state)
	}
	var took time.Duration
	for n := uint64(1); stateOf(t, r, now, "runs") != Leaving && took < 10*interval; n++ {
		r.Apply(now, announce("successor", n))
		now, took = now.Add(interval), took+interval
	}
	if took > 3*interval {
		t.Errorf("the dead upstream stays in service for %s", took)
	}
	r.Apply(now, announce("runs", 99))
	if state := stateOf(t, r, now, "runs"); state != Leaving {
		t.Errorf("a late announcement brings it back: %v", state)
	}
	if state := stateOf(t, r, now, "successor"); state != Fresh {
		t.Errorf("the successor is %v", state)
	}
}
