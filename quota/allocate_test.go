package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

const org = "bottega"

// holder is an instance that uses the last grant that it received.
type holder struct {
	granted  Grant
	inFlight int
	sent     []Grant // by the allocator, not yet confirmed by a statement
}

// A limit is divided between instances, and answers to them get lost or are delayed. If a part
// that one instance may still use were granted to another, an organisation with a limit of
// twelve could have more than twelve requests in flight.
func TestTheSumOfWhatInstancesMayUseNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Organisation: org, InFlight: rapid.IntRange(1, 40).Draw(t, "limit"), TokensPerSecond: 1000}
		holders := make([]*holder, rapid.IntRange(1, 9).Draw(t, "instances"))
		for i := range holders {
			holders[i] = &holder{}
		}
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			exchange(t, limit, holders)
			checkLimits(t, limit, holders)
		}
	})
}

func exchange(t *rapid.T, limit Limit, holders []*holder) {
	statements := make([]Statement, len(holders))
	for i, h := range holders {
		if rapid.Bool().Draw(t, "works") {
			h.inFlight = rapid.IntRange(0, h.granted.InFlight).Draw(t, "in flight")
		}
		statements[i] = Statement{
			Instance: fmt.Sprint(i), Outstanding: h.sent,
			Demands: []Demand{{
				Organisation: org, InFlight: h.inFlight, Waiting: rapid.IntRange(0, 30).Draw(t, "waiting"),
				TokensPerSecond:        float64(rapid.IntRange(0, 3000).Draw(t, "demand")),
				GrantedInFlight:        h.granted.InFlight,
				GrantedTokensPerSecond: h.granted.TokensPerSecond,
			}},
		}
	}
	for i, grants := range Allocate([]Limit{limit}, statements) {
		h := holders[i]
		if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
			h.sent = append(h.sent, grants.Grants[0])
			continue
		}
		h.granted, h.sent = grants.Grants[0], nil
	}
}

func checkLimits(t *rapid.T, limit Limit, holders []*holder) {
	inFlight, rate := 0, 0.0
	for _, h := range holders {
		inFlight += max(h.granted.InFlight, h.inFlight)
		rate += h.granted.TokensPerSecond
	}
	if inFlight > limit.InFlight {
		t.Fatalf("%d requests may be in flight, the limit is %d", inFlight, limit.InFlight)
	}
	if rate > limit.TokensPerSecond*1.000001 {
		t.Fatalf("%v tokens per second are granted, the limit is %v", rate, limit.TokensPerSecond)
	}
}

// Guards against units that instances give up by rounding being granted to others while they are
// still held.
func TestRoundingGrantsNothingThatIsStillHeld(t *testing.T) {
	held := []float64{3, 3, 3, 3, 3, 3, 3}
	parts := []float64{2.2, 2.2, 2.2, 2.2, 2.2, 3.5, 3.5}
	raised := 0
	for i, units := range roundToLimit(parts, held, 22) {
		raised += max(0, units-int(held[i]))
	}
	if raised > 1 {
		t.Errorf("instances were granted %d units above what they hold, 1 is free", raised)
	}
}

func TestDivideFollowsDemandAndSharesWhatNobodyWants(t *testing.T) {
	cases := []struct {
		name  string
		limit float64
		want  []float64
		held  []float64
		parts []float64
	}{
		{"equal demands", 90, []float64{50, 50, 50}, []float64{0, 0, 0}, []float64{30, 30, 30}},
		{"one quiet instance", 90, []float64{80, 5, 80}, []float64{0, 0, 0}, []float64{42.5, 5, 42.5}},
		{"spare is shared", 90, []float64{30, 0, 0}, []float64{0, 0, 0}, []float64{50, 20, 20}},
		{"held elsewhere is not given twice", 90, []float64{0, 90}, []float64{90, 0}, []float64{0, 0}},
		{"no limit", 0, []float64{10}, []float64{0}, []float64{0}},
	}
	for _, c := range cases {
		for i, part := range divide(c.limit, c.want, c.held) {
			if diff := part - c.parts[i]; diff > 1e-6 || diff < -1e-6 {
				t.Errorf("%s: instance %d got %v, want %v", c.name, i, part, c.parts[i])
			}
		}
	}
}
