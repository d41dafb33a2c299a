package control

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryport/quota"
	"celeryport/settings"
)

func TestGrantsNeverExceedTheLimit(t *testing.T) {
	// Statements and grants cross in transit or are lost, while the demand moves from one
	// instance to another. If a share counted as free before its holder had released it,
	// the fleet would admit more of an organisation than its limit.
	const limit, lease, margin = 12, 3 * time.Second, time.Second
	tree := &settings.Tree{Organisations: []settings.Organisation{{Name: "o", Limits: settings.Limits{InFlight: limit}}}}
	type holder struct {
		grant, seen uint64
		until       time.Time
	}
	type answer struct {
		to     *holder
		sentAt time.Time
		grants []quota.Grant
		number uint64
	}
	rapid.Check(t, func(t *rapid.T) {
		a := newAllocation(lease + margin)
		holders := map[string]*holder{"i1": {}, "i2": {}}
		var inTransit []answer
		now := time.Unix(1_800_000_000, 0)
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, allocateInterval / 2, allocateInterval}).Draw(t, "pause"))
			if len(inTransit) > 0 && rapid.Bool().Draw(t, "arrives") {
				at := rapid.IntRange(0, len(inTransit)-1).Draw(t, "which")
				next := inTransit[at]
				inTransit = slices.Delete(inTransit, at, at+1)
				if len(next.grants) > 0 && next.number >= next.to.seen {
					next.to.grant, next.to.seen = uint64(next.grants[0].InFlight), next.number
					next.to.until = next.sentAt.Add(lease)
				}
			} else {
				name := rapid.SampledFrom([]string{"i1", "i2"}).Draw(t, "name")
				h := holders[name]
				if !now.Before(h.until) {
					h.grant = 0
				}
				a.recordDemand(now, name, []quota.Demand{{
					Organisation: "o", Waiting: rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "waiting"), GrantedInFlight: int(h.grant),
				}}, h.seen)
				grants, number := a.issue(now, name, tree)
				inTransit = append(inTransit, answer{h, now, grants, number})
			}
			total := uint64(0)
			for _, other := range holders {
				if now.Before(other.until) {
					total += other.grant
				}
			}
			if total > limit {
				t.Fatalf("the instances may admit %d of %d", total, limit)
			}
		}
	})
}
