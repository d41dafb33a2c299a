package routing

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"celeryport/quota"
	"celeryport/upstream"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// pool returns a table and its pool of count engines with the given loads.
func pool(count int, load func(i int) upstream.Load) (*Table, *Pool) {
	list := make([]upstream.Upstream, count)
	for i := range list {
		l := load(i)
		l.PrefillRate, l.DecodeRate = 20_000, 50
		list[i] = upstream.Upstream{
			Announcement: upstream.Announcement{
				Name: fmt.Sprintf("engine-%02d", i), Incarnation: 1, Targets: []string{"model"},
				MemoryTokens: 400_000, Slots: 64, Load: l,
			},
			AnnouncedAt: start, LoadAt: start, Prefixes: upstream.NewPrefixes(nil),
		}
	}
	table := NewTable()
	table.Observe(start, upstream.NewSnapshot(1, start, list))
	return table, table.Pool("model")
}

func idle(int) upstream.Load { return upstream.Load{} }

// One engine reports that it is idle, and nine instances receive that report at
// the same time. If each of them chose the best engine, all their prompts would
// queue on it while the other engines stay idle.
func TestInstancesDoNotHerdToTheEngineLastReportedIdle(t *testing.T) {
	const instances, each = 9, 4
	landed := map[string]int{}
	for seed := range uint64(instances) {
		_, p := pool(14, func(i int) upstream.Load {
			if i == 5 {
				return upstream.Load{}
			}
			return upstream.Load{QueuedPrefill: 3000}
		})
		random := rand.New(rand.NewPCG(seed, 1))
		for range each {
			c, found := p.Choose(start, random, &Requirements{Prefill: 2000, Memory: 2100})
			if !found {
				t.Fatal("no engine")
			}
			c.Node.Begin(&Send{At: start, Prefill: 2000, Memory: 2100})
			landed[c.Node.Name]++
		}
	}
	if herd := landed["engine-05"]; herd > instances*each/3 {
		t.Fatalf("%d of %d prompts went to the idle engine: %v", herd, instances*each, landed)
	}
}

// A report is seconds old. If its queue were not reduced by its age, prompts
// would avoid engines that finished long ago.
func TestReportIsCorrectedByItsAge(t *testing.T) {
	_, p := pool(1, func(int) upstream.Load { return upstream.Load{QueuedPrefill: 40_000} })
	a := Requirements{Prefill: 2000, Memory: 2100}
	fresh := a.Predict(start, p.active[0])
	aged := a.Predict(start.Add(time.Second), p.active[0])
	if fresh.Wait != 2*time.Second || aged.Wait != time.Second {
		t.Fatalf("waits of %v and a second later %v, want 2s and 1s", fresh.Wait, aged.Wait)
	}
}

// The network of one instance fails, so every engine appears unreachable to it.
// If all of them were ejected, the instance would refuse all requests for half
// a minute after the network recovers.
func TestEjectionNeverEmptiesAPool(t *testing.T) {
	table, p := pool(9, idle)
	for _, n := range p.all {
		n.Health.Unreachable(start)
	}
	table.Rebuild(start)
	if p.Size() < 6 {
		t.Fatalf("%d of 9 engines are left", p.Size())
	}
}

func TestEjectedEngineReturnsAfterASuccessfulProbe(t *testing.T) {
	table, p := pool(4, idle)
	ejected := p.all[2]
	ejected.Health.Unreachable(start)
	table.Rebuild(start)
	if p.Size() != 3 {
		t.Fatalf("%d engines get work, want 3", p.Size())
	}
	later := start.Add(2 * ejectBase)
	table.Rebuild(later)
	need := &Requirements{Prefill: 100, Memory: 200}
	c, found := p.Probe(later, need)
	if !found || c.Node != ejected {
		t.Fatal("no probe was offered")
	}
	if _, again := p.Probe(later, need); again {
		t.Fatal("a second probe while the first is out")
	}
	ejected.Health.Success()
	table.Rebuild(later)
	if p.Size() != 4 || len(p.probes) != 0 {
		t.Fatalf("after a good probe %d engines get work", len(p.active))
	}
}

// Two spans need the same three engines. If one reserved a before b and the
// other b before a, each would hold memory that the other one needs, and both
// would wait until their leases expire, again and again.
func TestSpansOfAllInstancesReserveInTheSameOrder(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		held := func(int) upstream.Load { return upstream.Load{HeldTokens: random.IntN(200_000)} }
		_, p := pool(9, held)
		p.SizeLane(quota.Mix{Long: 0.6}, 0, 0)
		parts, _, found := p.ChooseSpan(start, 900_000)
		if !found {
			t.Fatal("no span")
		}
		total, leads := 0, 0
		for _, part := range parts {
			total += part.Tokens
			if part.Tokens > part.Node.Free() {
				t.Fatalf("%s has %d tokens free and was asked for %d", part.Node.Name, part.Node.Free(), part.Tokens)
			}
			if part.Lead {
				leads++
			}
		}
		ordered := sort.SliceIsSorted(parts, func(i, j int) bool { return parts[i].Node.Name < parts[j].Node.Name })
		if !ordered || total != 900_000 || leads != 1 {
			t.Fatalf("ordered %v, %d tokens, %d leads: %+v", ordered, total, leads, parts)
		}
	}
}

// The least loaded engine is one that is kept free of long prompts. If a span
// put its lead there, small prompts would wait behind a million-token prefill
// for most of a minute.
func TestLeadOfASpanIsInTheLongLane(t *testing.T) {
	_, p := pool(9, func(i int) upstream.Load { return upstream.Load{QueuedPrefill: 10_000} })
	p.SizeLane(quota.Mix{Long: 0.2}, 0, 0)
	for _, n := range p.lane.outside() {
		n.report.short = 0
	}
	for _, n := range p.lane.inside()[1:] {
		n.report.held = 300_000
	}
	parts, _, found := p.ChooseSpan(start, 900_000)
	for _, part := range parts {
		if part.Lead && part.Node.inLane {
			return
		}
	}
	t.Fatalf("found %v, no lead in the lane", found)
}

func TestLaneFollowsTheLoadAndLeavesNodesForSmallPrompts(t *testing.T) {
	cases := []struct {
		mix     quota.Mix
		waiting int
		size    int
	}{
		{quota.Mix{Small: 0.1}, 0, 0},
		{quota.Mix{Small: 0.05, Middle: 0.1, Long: 0.6}, 0, 8},
		{quota.Mix{Small: 0.05, Long: 0.3}, 0, 4},
		{quota.Mix{Small: 0.05, Long: 0.3}, 2 * 8 * 20_000, 6},
		{quota.Mix{Small: 0.05, Long: 2}, 1e9, 8},
	}
	for _, c := range cases {
		_, p := pool(10, idle)
		p.SizeLane(c.mix, c.waiting, 0)
		if p.LaneSize() != c.size {
			t.Errorf("%+v with %d tokens waiting: a lane of %d, want %d", c.mix, c.waiting, p.LaneSize(), c.size)
		}
	}
}

// Spans wait for whole engines while long prompts keep arriving that each fit
// into the memory of one span part. If the long prompts used the whole lane, a
// million-token prompt would retry until its deadline.
func TestNodesAreClearedOfLongPromptsForOverdueSpans(t *testing.T) {
	_, p := pool(9, idle)
	p.SizeLane(quota.Mix{Long: 0.8}, 0, 900_000)
	random := rand.New(rand.NewPCG(1, 1))
	cleared := map[*Node]bool{}
	for _, n := range p.lane.order[:3] {
		cleared[n] = true
	}
	for range 50 {
		c, found := p.ChooseLong(start, random, &Requirements{Prefill: 100_000, Memory: 100_000, Long: true}, false)
		if !found || cleared[c.Node] {
			t.Fatalf("found %v, a long prompt on a cleared node", found)
		}
	}
}

func TestInstancesSpreadEvenlyOverTheNodesForSmallPrompts(t *testing.T) {
	owners := map[string]int{}
	for rank := range 9 {
		table, p := pool(10, idle)
		table.SetPeers(rank, 9)
		p.SizeLane(quota.Mix{Small: 0.05, Long: 0.6}, 0, 0)
		owners[p.lane.ownNode().Name]++
	}
	if len(owners) != 3 || slices.Max(slices.Collect(maps.Values(owners))) != 3 {
		t.Fatalf("nine instances on the three nodes outside the lane: %v", owners)
	}
}

func TestPrefixIsSentToItsHomeNodeUnlessThatIsLoaded(t *testing.T) {
	_, p := pool(10, idle)
	random := rand.New(rand.NewPCG(1, 1))
	need := &Requirements{Prefill: 4000, Memory: 4100, PrefixHash: 77, PrefixTokens: 3000}
	first, _ := p.Choose(start, random, need)
	for range 20 {
		if c, _ := p.Choose(start, random, need); c.Node != first.Node {
			t.Fatalf("%s and then %s", first.Node.Name, c.Node.Name)
		}
	}
	first.Node.Begin(&Send{At: start, Prefill: 50_000, Memory: 50_000})
	if c, _ := p.Choose(start, random, need); c.Node == first.Node {
		t.Fatal("stayed at a home with seconds of work")
	}
}
