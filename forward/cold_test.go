package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/control"
	"celeryport/loadshare"
	"celeryport/membership"
	"celeryport/settings"
	"celeryport/upstream"
)

const (
	testColdRate = 14.0
	testColdTime = 3 * time.Second
)

// testZones are the zones of the instances in rotation.
var testZones = []string{"warm", "cold"}

// streamTime is how long a stream of a test occupies its engine.
const streamTime = 600 * time.Millisecond

// newColdServers returns instances that know the same fleet, in which the engines of one zone
// have come back cold, and the keys of these.
func newColdServers(t *testing.T, instances, warm, cold int) (servers []*Server, isCold map[loadshare.Key]bool) {
	t.Helper()
	registry := upstream.NewRegistry(time.Hour)
	isCold = map[loadshare.Key]bool{}
	for i := range warm + cold {
		a := upstream.Announcement{
			Name: fmt.Sprint("engine-", i), Incarnation: 1, Sequence: 1, Address: fmt.Sprintf("10.0.1.%d:80", i),
			Targets: []string{"model"}, AvailabilityZone: "warm",
		}
		if i >= warm {
			a.AvailabilityZone, a.ColdFor = "cold", testColdTime
			isCold[incarnationOf(&a).loadKey()] = true
		}
		registry.Apply(time.Now(), a)
	}
	profile := &settings.EngineProfile{
		Slots: 12, MemoryTokens: 382_500, Stride: 52, Step: 925 * time.Microsecond, PrefillRate: 256_000,
		PairsPerM: 92 * time.Microsecond, Chunk: 2048, MinPauseLimit: 200 * time.Millisecond,
	}
	forwarding := &settings.Forwarding{Services: []settings.ForwardedService{
		{Name: "model", Engine: profile, ColdTime: testColdTime, ColdRate: testColdRate},
	}}
	tree, err := settings.NewForwardingTree("test", nil, forwarding)
	if err != nil {
		t.Fatal(err)
	}
	view := &control.View{Tree: tree, Upstreams: registry.Snapshot(time.Now())}
	for i := range instances {
		view.Instances = append(view.Instances, membership.Instance{
			Name: fmt.Sprint("front-", i), Address: "a", ControlAddress: "10.0.0.1:7340", AvailabilityZone: testZones[i%len(testZones)],
		})
	}
	for i := range instances {
		s := newTestServer(t, fmt.Sprint("front-", i))
		s.options.Plane = fixedPlane{view: view}
		s.options.Process.AvailabilityZone = testZones[i%len(testZones)]
		s.fleet.options.Plane = s.options.Plane
		servers = append(servers, s)
	}
	return servers, isCold
}

// sendBurst places short prompts at random instances and returns the highest
// number of requests that one cold engine got in a second, and how many prompts were refused.
func sendBurst(servers []*Server, isCold map[loadshare.Key]bool, perSecond int, length time.Duration) (most, refused int) {
	random := rand.New(rand.NewPCG(3, 4))
	arrivals := map[loadshare.Key][]time.Time{}
	for range int(length.Seconds() * float64(perSecond)) {
		s := servers[random.IntN(len(servers))]
		view := s.options.Plane.View()
		x := &exchange{
			server: s, call: &Call{PromptTokens: 4_000, AnswerTokens: 400}, service: view.Tree.Forwarding.Service("model"),
			route: &settings.Route{Objective: 300 * time.Millisecond, PauseLimit: 250 * time.Millisecond, MaxSends: 2},
			began: time.Now(), deadline: time.Now().Add(10 * time.Second),
		}
		s.budgets.RecordCall(time.Now(), "model")
		w, _, err := x.tryPlace()
		if err != nil {
			refused++
		} else if w != nil {
			if isCold[w.lead.key] {
				arrivals[w.lead.key] = append(arrivals[w.lead.key], time.Now())
			}
			time.AfterFunc(streamTime, func() { s.fleet.end(w) })
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	time.Sleep(streamTime)
	for _, at := range arrivals {
		for i := range at {
			n := 0
			for j := i; j < len(at) && at[j].Sub(at[i]) < time.Second; j++ {
				n++
			}
			most = max(most, n)
		}
	}
	return most, refused
}

// Guards against a burst that crashes engines which have just come back cold: they are idle, so
// that each instance sends its next calls there.
func TestColdEnginesGetTheirReducedRateUnderABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers, isCold := newColdServers(t, 24, 6, 3)
		time.Sleep(time.Millisecond)
		most, refused := sendBurst(servers, isCold, 400, 3*time.Second)
		if float64(most) > testColdRate {
			t.Errorf("a cold engine gets %d requests in one second, and accepts %g", most, testColdRate)
		}
		if refused > 0 {
			t.Errorf("%d prompts are refused although warm engines are free", refused)
		}
		if most == 0 {
			t.Error("the cold engines get no requests at all")
		}
	})
}

// Guards against a cold engine that gets its reduced rate once from each part of a fleet whose
// parts do not know of each other.
func TestColdRateHoldsForTwoPartsOfAFleet(t *testing.T) {
	const slack, factor = 5, 1.5
	synctest.Test(t, func(t *testing.T) {
		servers, isCold := newColdServers(t, 24, 6, 3)
		for i, s := range servers {
			whole := s.options.Plane.View()
			part := *whole
			part.Instances = whole.Instances[i/12*12 : i/12*12+12]
			s.options.Plane = fixedPlane{view: &part}
			s.fleet.options.Plane = s.options.Plane
		}
		most, _ := sendBurst(servers, isCold, 400, 3*time.Second)
		if float64(most) > factor*testColdRate+slack {
			t.Errorf("a cold engine gets %d requests in one second, and crashes at a rate well above %g", most, testColdRate)
		}
	})
}

// Guards against an engine that is kept at its reduced rate although it is warm, and against a
// full rate for engines of a restored zone before they have said whether they are cold.
func TestColdTimeEndsAndRestoredZonesArePresumedCold(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		cold  coldTime
		after time.Duration
		want  bool
	}{
		"never cold":                    {coldTime{}, 0, false},
		"announced":                     {coldTime{announced: at.Add(time.Second)}, 900 * time.Millisecond, true},
		"announced, over":               {coldTime{announced: at.Add(time.Second)}, 1400 * time.Millisecond, false},
		"stated in an answer":           {coldTime{stated: at.Add(time.Second)}, 900 * time.Millisecond, true},
		"restored, not announced since": {coldTime{restoredAt: at}, 2 * time.Second, true},
		"restored long ago":             {coldTime{restoredAt: at}, testColdTime, false},
	}
	for name, test := range tests {
		if got := test.cold.active(at.Add(test.after), testColdTime); got != test.want {
			t.Errorf("%s: cold %v, want %v", name, got, test.want)
		}
	}
}
