package recovery

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"celeryport/loadshare"
)

var start = time.Unix(1_700_000_000, 0)

func listOf(peers, zones int) Listed {
	listed := Listed{Zones: zones}
	for i := range peers {
		listed.Peers = append(listed.Peers, netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7340", i+1)))
	}
	return listed
}

func TestViewIsIncompleteUntilOthersHaveReported(t *testing.T) {
	// Guards against an instance that takes the first reports of a few others, or the silence
	// before the list of instances arrives, for the load of the whole fleet.
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	hear := func(v *View, peers, zones int) {
		for _, peer := range listOf(peers, 0).Peers {
			v.RecordReport(start, peer, true)
		}
		for zone := range zones {
			v.RecordZone(start, loadshare.Key(zone+1), true)
		}
	}
	for name, c := range map[string]struct {
		listedAt    int // milliseconds
		peers       int // listed, beside two other zones
		heard       int
		zones       int
		want, early int // milliseconds until the view is complete, and a time before
	}{
		"all heard":      {listedAt: 0, peers: 20, heard: 19, zones: 2, early: 390, want: 400},
		"few heard":      {listedAt: 0, peers: 20, heard: 17, zones: 2, early: 790, want: 800},
		"a zone missing": {listedAt: 0, peers: 20, heard: 20, zones: 1, early: 790, want: 800},
		"listed late":    {listedAt: 900, peers: 20, heard: 1, early: 1690, want: 1700},
		"listed at last": {listedAt: 9000, peers: 20, heard: 1, early: 9790, want: 9800},
		"nobody heard":   {listedAt: 0, peers: 20, early: 3990, want: 4000},
	} {
		v, listed := NewView(start), listOf(c.peers, 2)
		hear(v, c.heard, c.zones)
		for ms := 0; ms <= c.want; ms += 10 {
			v.Observe(at(ms), listed, ms >= c.listedAt)
			complete := v.Complete(at(ms), listed)
			if complete && ms <= c.early || !complete && ms >= c.want {
				t.Errorf("%s: complete %t after %d ms", name, complete, ms)
				break
			}
		}
	}
}

func TestViewOfAGrowingListIsNotCompletedByItsFirstEntries(t *testing.T) {
	// After a loss of all processes the list names one other instance first, and the rest half a
	// second later. The report of the first one must not complete the view.
	v := NewView(start)
	v.RecordReport(start, listOf(1, 0).Peers[0], true)
	v.Observe(start, listOf(1, 0), true)
	grown := listOf(20, 2)
	if v.Complete(start.Add(500*time.Millisecond), grown) {
		t.Error("complete although 19 listed instances have not reported")
	}
}

func TestViewOfAListThatKeepsGrowingBecomesComplete(t *testing.T) {
	// Guards against an instance that never packs its calls because other instances keep starting.
	v, now := NewView(start), start
	for grown := 1; now.Before(start.Add(maxIncomplete)); grown++ {
		if v.Observe(now, listOf(grown, 0), true); v.Complete(now, listOf(grown, 0)) {
			t.Fatalf("complete %s after the list has grown", now.Sub(v.grownAt))
		}
		now = now.Add(loadshare.FullInterval)
	}
	if !v.Complete(now, listOf(1, 0)) {
		t.Errorf("incomplete after %s", maxIncomplete)
	}
}

func TestFrozenInstanceDoesNotTrustExpiredReports(t *testing.T) {
	// Guards against an instance that was stopped for longer than reports live: its view has
	// become empty meanwhile, and it would pack calls as in an idle fleet.
	v, listed := NewView(start), listOf(20, 2)
	v.Tick(start)
	v.Observe(start, listed, true)
	v.RecordReport(start, listed.Peers[0], true)
	if now := start.Add(listenTime); !v.Complete(now, listed) {
		t.Fatal("incomplete after two full reports of all instances")
	}
	frozen := start.Add(10 * time.Second)
	v.Tick(start.Add(listenTime))
	v.Tick(frozen)
	v.Observe(frozen, listed, true)
	if v.Complete(frozen, listed) {
		t.Error("complete just after the process was frozen")
	}
	v.RecordReport(frozen, listed.Peers[0], true)
	if !v.Complete(frozen.Add(listenTime), listed) {
		t.Error("incomplete long after the process was frozen")
	}
}

func TestZoneIsNotReportedBeforeItIsKnown(t *testing.T) {
	// Guards against an instance that restarts as the aggregator of its zone and reports the zone
	// as idle, because the others do not report to it before control has named it to them.
	v, listed := NewView(start), listOf(20, 2)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	v.Observe(start, listed, true)
	v.RecordReport(at(500), listed.Peers[0], true)
	for ms, want := range map[int]bool{450: false, 500: false, 940: false, 950: true} {
		if got := v.ZoneKnown(at(ms), listed); got != want {
			t.Errorf("%d ms after the list, 500 ms before the first report: known %t", ms, got)
		}
	}
	alone := NewView(start)
	if alone.Observe(start, listOf(0, 2), true); !alone.ZoneKnown(start, listOf(0, 2)) {
		t.Error("an instance that is alone in its zone does not report it")
	}
}
