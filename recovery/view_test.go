package recovery

import (
	"net/netip"
	"testing"
	"time"

	"celeryport/loadshare"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func listOf(peers, zones int) Listed {
	listed := Listed{Zones: zones}
	for i := range peers {
		listed.Peers = append(listed.Peers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7340))
	}
	return listed
}

func TestViewIsIncompleteUntilOthersHaveReported(t *testing.T) {
	// Guards against an instance that takes for the load of the whole fleet what it has after the
	// first reports of a few others, after a report of changes alone, before the list of
	// instances arrives or while that grows, and against one that spreads its calls for good.
	for name, c := range map[string]struct {
		listedAt int // milliseconds
		growing  bool
		reported int // of 20 instances of the zone
		partial  bool
		zones    int // of two
		want     int // milliseconds until the view is complete
	}{
		"all reported":      {reported: 19, zones: 2, want: 400},
		"few reported":      {reported: 17, zones: 2, want: 800},
		"a zone missing":    {reported: 20, zones: 1, want: 800},
		"changes only":      {reported: 20, partial: true, want: 4000},
		"none reported":     {want: 4000},
		"listed at last":    {listedAt: 9000, reported: 1, want: 9800},
		"a list that grows": {growing: true, reported: 1, want: 4000},
	} {
		v, listed := NewView(start), listOf(20, 2)
		for _, peer := range listed.Peers[:c.reported] {
			v.RecordReport(start, peer, !c.partial)
		}
		for zone := range c.zones {
			v.RecordZone(start, loadshare.Key(zone), true)
		}
		for ms := 0; ms <= c.want; ms += 100 {
			if c.growing {
				listed.Zones++
			}
			v.Observe(at(ms), listed, ms >= c.listedAt)
			if complete := v.Complete(at(ms), listed); complete != (ms == c.want) {
				t.Errorf("%s: complete %t after %d ms", name, complete, ms)
				break
			}
		}
	}
}

func TestFrozenInstanceDoesNotTrustExpiredReports(t *testing.T) {
	// Guards against an instance that was stopped for longer than reports live: its view has
	// become empty meanwhile, and it would pack calls as in an idle fleet.
	v, listed := NewView(start), listOf(20, 2)
	for _, began := range []int{0, 10_000} {
		v.Tick(at(began))
		v.Observe(at(began), listed, true)
		v.RecordReport(at(began), listed.Peers[0], true)
		if v.Complete(at(began), listed) || !v.Complete(at(began+800), listed) {
			t.Errorf("%d ms: complete at once, or incomplete 0.8 s later", began)
		}
		v.Tick(at(began + 800))
	}
}

func TestZoneIsNotReportedBeforeItIsKnown(t *testing.T) {
	// Guards against an instance that restarts as the aggregator of its zone and reports the zone
	// as idle, because the others do not report to it before control has named it to them.
	v, listed := NewView(start), listOf(20, 2)
	v.Observe(start, listed, true)
	v.RecordReport(at(500), listed.Peers[0], true)
	if v.ZoneKnown(at(940), listed) || !v.ZoneKnown(at(950), listed) {
		t.Error("the zone is known before or after 450 ms from the first report")
	}
	if v = NewView(start); v.ZoneKnown(start, listOf(0, 2)) {
		t.Error("the zone is known without a list of instances")
	}
	if v.Observe(start, listOf(0, 2), true); !v.ZoneKnown(start, listOf(0, 2)) {
		t.Error("an instance that is alone in its zone does not report it")
	}
}
