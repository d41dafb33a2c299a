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
