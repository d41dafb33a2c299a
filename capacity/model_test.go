package capacity

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"celeryport/slopes"
)

// A recorded figure is renewed, and the page rests on another one or on a constant
// instead: it would go on showing what is no longer so, and the comparison of page
// and files would not see it.
func TestEveryMeasurementReachesThePage(t *testing.T) {
	changes := map[string]func(*Sources){
		"leader by instance":   func(s *Sources) { s.Control.Slopes.LeaderBytesPerInstance.Slope *= 2 },
		"leader by upstream":   func(s *Sources) { s.Control.Slopes.LeaderBytesPerUpstream.Slope *= 2 },
		"instance by upstream": func(s *Sources) { s.Control.Slopes.InstanceBytesPerUpstream.Slope *= 2 },
		"CPU by upstream":      func(s *Sources) { s.Control.Slopes.CPUPerUpstream.Slope *= 2 },
		"CPU by instance":      func(s *Sources) { s.Control.Slopes.CPUPerInstance.Slope *= 2 },
		"heap by upstream":     func(s *Sources) { s.Control.Slopes.HeapPerUpstream.Slope *= 2 },
		"residual":             func(s *Sources) { s.Control.Slopes.HeapPerUpstream.Residual *= 2 },
		"follower":             func(s *Sources) { s.Control.Upstreams[4].FollowerBytes *= 2 },
		"leader's calls":       func(s *Sources) { s.Control.Instances[4].LeaderCalls *= 2 },
		"bytes of a change":    func(s *Sources) { s.Control.Changes.BytesEach *= 2 },
		"CPU of a change":      func(s *Sources) { s.Control.Changes.CPUEach *= 2 },
		"commit":               func(s *Sources) { s.Control.Changes.CommitMs.P99 *= 2 },
		"installed":            func(s *Sources) { s.Control.Changes.EverywhereMs.P99 *= 2 },
		"in force":             func(s *Sources) { s.Control.Changes.InForceMs.Max *= 2 },
		"election":             func(s *Sources) { s.Control.Elections.Max *= 2 },
		"outage":               func(s *Sources) { s.Control.Outages.StopMs.Max *= 2 },
		"catch-up":             func(s *Sources) { s.Control.CatchUp[1].Seconds *= 2 },
		"claims":               func(s *Sources) { s.Control.Claims[1].PerSecond *= 2 },
		"decision":             func(s *Sources) { double(s.Traffic.Decisions[1].Nanoseconds) },
		"request":              func(s *Sources) { double(s.Traffic.Requests[3].Nanoseconds) },
		"allocated":            func(s *Sources) { double(s.Traffic.Requests[3].Allocated) },
		"streamed token":       func(s *Sources) { double(s.Traffic.StreamedToken) },
		"copy, bytes":          func(s *Sources) { double(s.Traffic.Copies[1].Bytes) },
		"copy, time":           func(s *Sources) { double(s.Traffic.Copies[1].Nanoseconds) },
		"apply":                func(s *Sources) { double(s.Traffic.Apply) },
		"merge":                func(s *Sources) { double(s.Traffic.Merge) },
		"counting":             func(s *Sources) { double(s.Traffic.CountRequest) },
		"merge, CPU":           func(s *Sources) { double(s.Traffic.Merges.Copies[1].CPU) },
		"merge, elapsed":       func(s *Sources) { double(s.Traffic.Merges.Copies[1].Elapsed) },
		"book":                 func(s *Sources) { double(s.Traffic.States[1].Bytes) },
		"trial, bytes":         func(s *Sources) { s.Traffic.Trials.Fleets[2].InstanceBytes *= 2 },
		"trial, CPU":           func(s *Sources) { s.Traffic.Trials.Fleets[2].CPUPerInstance *= 2 },
		"resident":             func(s *Sources) { s.Traffic.Process.Resident *= 2 },
		"reconciler, time":     func(s *Sources) { double(s.Traffic.Reconciler.Fleets[1].Nanoseconds) },
		"reconciler, memory":   func(s *Sources) { double(s.Traffic.Reconciler.Fleets[1].Memory) },
		"load average":         func(s *Sources) { s.Traffic.Runs[0].LoadAverage *= 2 },
	}
	before := render(t, recorded(t))
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			s := recorded(t)
			change(&s)
			if render(t, s) == before {
				t.Fatal("the page is the same with twice the figure")
			}
		})
	}
}

func double(runs []float64) {
	for i := range runs {
		runs[i] *= 2
	}
}

// A file of measurements is cut short or has another form. Every figure would come
// out as zero, and a page full of zeros looks as if all were within the limits.
func TestIncompleteMeasurementsAreRefused(t *testing.T) {
	for _, name := range []string{slopesFile, trafficFile} {
		folder := t.TempDir()
		for _, file := range []string{slopesFile, trafficFile} {
			text, err := os.ReadFile(filepath.Join(documents, file))
			if err != nil {
				t.Fatal(err)
			}
			if file == name {
				text = []byte("{}")
			}
			if err := os.WriteFile(filepath.Join(folder, file), text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := Read(folder); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s empty: got %v, want an error that names it", name, err)
		}
	}
}

func TestRowsAgainstLimits(t *testing.T) {
	cases := []struct {
		name     string
		cost     line
		at       float64
		carries  bool
		margin   string
		breaksAt string
	}{
		{"within", line{100, 10}, 20, true, "70% left", "over from 91 things on"},
		{"at the limit", line{100, 10}, 90, true, "0% left", "over from 91 things on"},
		{"over", line{100, 10}, 290, false, "**over by 2 kB/s** (3 times)", "over from 91 things on"},
		{"over by its base", line{1001, 10}, 100, false, "**over by 1 kB/s** (2 times)", "over at any number of things"},
		{"just above one", line{991, 10}, 1, false, "**over by 1 B/s** (1 times)", "over at any number of things"},
	}
	for _, c := range cases {
		row := Row{Value: c.cost.at(c.at), Unit: BytesPerSecond}.against(1000).breaksAt(c.cost, "things")
		if row.Carries != c.carries || row.margin() != c.margin || row.Breaks != c.breaksAt {
			t.Errorf("%s: got %v, %q, %q", c.name, row.Carries, row.margin(), row.Breaks)
		}
	}
}

// The lines that this package fits itself are those that package slopes fits.
func TestFitAgreesWithTheRecordedSlopes(t *testing.T) {
	s := recorded(t)
	got := fitFleets(s.Control.Upstreams,
		func(i *slopes.Idle) float64 { return float64(i.Upstreams) },
		func(i *slopes.Idle) float64 { return i.InstanceBytes })
	want := s.Control.Slopes.InstanceBytesPerUpstream
	if math.Abs(got.slope-want.Slope) > 1e-6*want.Slope || math.Abs(got.base-want.Base) > 1e-6*want.Base {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

// The size at which the reconciler breaks solves a square, which a slip of a sign
// would turn into a size that is far off and still looks sound.
func TestReconcilerReachesItsLimit(t *testing.T) {
	s := recorded(t)
	target := Letter()
	cpu := func(engines float64) float64 {
		target.Upstreams = engines
		return NewModel(target, &s).reconcilerCPU().Value
	}
	size := NewModel(target, &s).reconcilerReaches()
	within := cpu(size) <= limitCPU && cpu(size+1) > limitCPU
	if !within {
		t.Fatalf("at %v engines %v, one more %v; want the limit %v between them", size, cpu(size), cpu(size+1), limitCPU)
	}
}
