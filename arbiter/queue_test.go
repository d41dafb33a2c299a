package arbiter

import (
	"fmt"
	"testing"
	"time"

	"celeryport/loadshare"
	"celeryport/placement"
	"celeryport/settings"
)

var start = time.Unix(1_700_000_000, 0)

// fakeFleets is a fleet of equal engines with loads set by the test.
type fakeFleets struct {
	loads   map[loadshare.Key]loadshare.Load
	engines int
	granted int
	unknown bool // the loads of some instances are not known
}

func (w *fakeFleets) Fleet(service string) *Fleet {
	if service != "model" {
		return nil
	}
	fleet := &Fleet{Profile: &settings.EngineProfile{
		Slots: 16, MemoryTokens: 405_000, Stride: 34, Step: 1310 * time.Microsecond, PrefillRate: 154_000,
		PairsPerM: 162 * time.Microsecond, Chunk: 2048, MinPauseLimit: 250 * time.Millisecond,
	}}
	fleet.Incomplete = w.unknown
	for i := range w.engines {
		key := loadshare.Key(i + 1)
		fleet.Keys = append(fleet.Keys, key)
		fleet.Engines = append(fleet.Engines, placement.Engine{Order: uint64(key), Load: w.loads[key]})
	}
	return fleet
}

func (w *fakeFleets) Granted(*Request, *Answer) { w.granted++ }

func newRequest(id string, prompt int) *Request {
	return &Request{
		ID: id, Service: "model", Prompt: prompt, Answer: 600,
		Objective: 4 * time.Second, LongPause: time.Second, Remaining: 15 * time.Second,
	}
}

func TestWaitingPromptsDontTakeTheSameEngines(t *testing.T) {
	// Two instances have a long prompt each, and both see the same engines become free. If they
	// decided independently, both would occupy these at the same moment: the prompt that came
	// first would be prefilled last, and its first event would be late.
	queue, w := NewQueue(), &fakeFleets{engines: 18}
	queue.Accept(start, newRequest("a", 300_000))
	queue.Accept(start, newRequest("b", 310_000))
	answers := queue.Step(start, w)
	used := map[loadshare.Key]string{}
	for _, answer := range answers {
		if answer.Decision != Placed {
			t.Errorf("%s was rejected", answer.ID)
		}
		for _, key := range append(answer.Helpers, answer.Lead) {
			if used[key] != "" {
				t.Errorf("engine %d prefills for %s and for %s", key, used[key], answer.ID)
			}
			used[key] = answer.ID
		}
	}
	if len(answers) == 0 || !queue.HasPending() {
		t.Errorf("%d are placed, waiting: %t; want the second to wait for the first", len(answers), queue.HasPending())
	}
}

func TestShorterPromptsGoFirst(t *testing.T) {
	// More long prompts wait than can be prefilled in time. In order of arrival, one of 600,000
	// tokens would take the time of a dozen of 150,000, and all would be late.
	queue, w := NewQueue(), &fakeFleets{engines: 17}
	queue.Accept(start, newRequest("a", 600_000))
	queue.Accept(start, newRequest("b", 150_000))
	answers := queue.Step(start, w)
	if len(answers) == 0 || answers[0].ID != "b" || answers[0].Decision != Placed {
		t.Fatalf("answers %+v, want the short one placed first", answers)
	}
}

func TestInfeasiblePromptsAreAnsweredAtOnce(t *testing.T) {
	// All engines have more prefill queued than the objective allows. A caller that gets no
	// answer until then could have retried in time.
	queue, w := NewQueue(), &fakeFleets{engines: 4, loads: map[loadshare.Key]loadshare.Load{}}
	for key := loadshare.Key(1); key <= 4; key++ {
		w.loads[key] = loadshare.Load{Leading: 1, PrefillTime: 6 * time.Second}
	}
	queue.Accept(start, newRequest("a", 300_000))
	answers := queue.Step(start, w)
	if len(answers) != 1 || answers[0].Decision != Infeasible || answers[0].Excess <= 0 {
		t.Errorf("answers %+v, want a rejection with the excess time", answers)
	}
}

func TestManyWaitingPromptsMakeOthersInfeasible(t *testing.T) {
	// A burst brings ten times what can be prefilled within the objective. Judged by the
	// engines' load alone, each of the prompts would seem to be next; they would be rejected
	// only when their time is over, and their callers would have no time left to retry.
	queue, w := NewQueue(), &fakeFleets{engines: 17}
	for i := range 100 {
		queue.Accept(start, newRequest(fmt.Sprintf("%03d", i), 300_000))
	}
	infeasible := 0
	for _, answer := range queue.Step(start, w) {
		if answer.Decision == Infeasible {
			infeasible++
		}
	}
	if infeasible < 70 {
		t.Errorf("%d of 100 are rejected at once, at most 10 can be prefilled in time", infeasible)
	}
}

func TestLostAnswersAreRepeated(t *testing.T) {
	// The datagram with the answer is lost, but the engines are already allocated. A second
	// placement of the same prompt would keep other prompts from engines.
	queue, w := NewQueue(), &fakeFleets{engines: 17}
	queue.Accept(start, newRequest("a", 150_000))
	first := queue.Step(start, w)
	again := queue.Accept(start.Add(40*time.Millisecond), newRequest("a", 150_000))
	if len(first) != 1 || again != first[0] || w.granted != 1 {
		t.Errorf("answered %+v, then %+v, granted %d times", first, again, w.granted)
	}
}

func TestRequestsOfGoneInstancesExpire(t *testing.T) {
	// An instance dies, or its caller disconnects, while a prompt waits. Engines allocated to it
	// would be idle while other prompts wait.
	queue, w := NewQueue(), &fakeFleets{engines: 4, loads: map[loadshare.Key]loadshare.Load{}}
	for key := loadshare.Key(1); key <= 4; key++ {
		w.loads[key] = loadshare.Load{Leading: 1, PrefillTime: time.Second}
	}
	queue.Accept(start, newRequest("a", 60_000))
	if answers := queue.Step(start, w); len(answers) > 0 {
		t.Fatalf("answered %+v, want it to wait", answers)
	}
	w.loads = nil
	if answers := queue.Step(start.Add(requestTTL+time.Millisecond), w); len(answers) > 0 || queue.HasPending() {
		t.Errorf("answered %+v, waiting: %t", answers, queue.HasPending())
	}
}

func TestUnknownServicesAreNotDecided(t *testing.T) {
	// The arbiter has older settings than the requester, without the service. If the call were
	// held or rejected it would fail although the requester could place it.
	queue, w := NewQueue(), &fakeFleets{engines: 4}
	request := newRequest("a", 150_000)
	request.Service = "other"
	queue.Accept(start, request)
	if answers := queue.Step(start, w); len(answers) != 1 || answers[0].Decision != Unknown {
		t.Errorf("answers %+v", answers)
	}
	// The arbiter has just started, and no engine has announced itself to it.
	w.engines = 0
	queue.Accept(start, newRequest("b", 150_000))
	if answers := queue.Step(start, w); len(answers) != 1 || answers[0].Decision != Unknown {
		t.Errorf("without engines: answers %+v", answers)
	}
}

// Guards against placing a call on more lead engines than its route allows.
func TestOnlyEnginesThatHadTheCallLeadIt(t *testing.T) {
	queue, w := NewQueue(), &fakeFleets{engines: 18}
	request := newRequest("a", 300_000)
	request.LeadCandidates = []loadshare.Key{17}
	queue.Accept(start, request)
	answers := queue.Step(start, w)
	if len(answers) != 1 || answers[0].Decision != Placed || answers[0].Lead != 17 || len(answers[0].Helpers) == 0 {
		t.Errorf("answers %+v, want engine 17 to lead and others to help", answers)
	}
}
