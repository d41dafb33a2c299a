package loadshare

import "testing"

func TestZoneIsCountedOnce(t *testing.T) {
	// The instance that aggregates a zone dies, or is believed dead, and another one takes over.
	// If both counted, the engines would seem twice as loaded as they are, and prompts would be
	// rejected although engines are idle.
	zones := NewZones(KeyOf("own"))
	zone, engine := KeyOf("other"), KeyOf("engine")
	report := func(sender Key, sequence uint32, full bool, streams int) *Report {
		return &Report{Sender: sender, Zone: zone, Sequence: sequence, Full: full, Loads: map[Key]Load{engine: {Streams: streams}}}
	}
	steps := []struct {
		name   string
		report *Report
		want   int
	}{
		{"the first aggregator", report(1, 1, true, 3), 3},
		{"its next report", report(1, 2, false, 4), 4},
		{"another one, without a full report", report(2, 1, false, 9), 4},
		{"another one, with a full report", report(2, 2, true, 5), 5},
		{"the former one, delayed", report(1, 3, false, 4), 5},
	}
	for _, step := range steps {
		zones.Accept(start, step.report)
		if got := zones.Load(start, engine).Streams; got != step.want {
			t.Errorf("after %s there are %d streams, want %d", step.name, got, step.want)
		}
	}
}

func TestOwnZoneIsNotCountedAgain(t *testing.T) {
	zones := NewZones(KeyOf("own"))
	if zones.Accept(start, &Report{Sender: 1, Zone: KeyOf("own"), Sequence: 1, Full: true, Loads: map[Key]Load{5: {Streams: 1}}}) {
		t.Error("the report of the own zone's aggregator was accepted")
	}
}

func TestCountsDoNotOverflowIntoEachOther(t *testing.T) {
	// Twenty instances of a zone suspect an engine. If that count overflowed into the count of
	// failures, an engine that answers would be skipped.
	report := Report{Sender: 1, Zone: 2, Loads: map[Key]Load{5: {Suspicions: 20, Failing: 1}}}
	got, err := Decode(report.Encode())
	if err != nil || got.Zone != 2 {
		t.Fatal(got, err)
	}
	if load := got.Loads[5]; load.Suspicions != failingUnit-1 || load.Failing != 1 {
		t.Errorf("20 suspicions and one failure arrive as %+v", load)
	}
}

func TestRestartedAggregatorSendsAFullReport(t *testing.T) {
	reporter := NewReporter(1)
	loads := map[Key]Load{5: {Streams: 1}}
	reporter.Next(start, loads, true)
	reporter.Restart()
	if r := reporter.Next(start, loads, true); r == nil || !r.Full || len(r.Loads) != 1 {
		t.Errorf("after a restart it reports %+v", r)
	}
}
