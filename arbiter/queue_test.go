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

// world is a fleet of equal engines whose loads the test sets.
type world struct {
	loads   map[loadshare.Key]loadshare.Load
	engines int
	granted int
}

func (w *world) Fleet(service string) *Fleet {
	if service != "model" {
		return nil
	}
	fleet := &Fleet{Profile: &settings.EngineProfile{
		Slots: 16, MemoryTokens: 405_000, Stride: 34, Step: 1310 * time.Microsecond, ReadRate: 154_000,
		PairsPerM: 162 * time.Microsecond, Chunk: 2048, LeastPause: 250 * time.Millisecond,
	}}
	for i := range w.engines {
		key := loadshare.Key(i + 1)
		fleet.Keys = append(fleet.Keys, key)
		fleet.Engines = append(fleet.Engines, placement.Engine{Order: uint64(key), Load: w.loads[key]})
	}
	return fleet
}

func (w *world) Granted(*Ask, *Answer) { w.granted++ }

func askFor(id string, prompt int) *Ask {
	return &Ask{
		ID: id, Service: "model", Prompt: prompt, Answer: 600,
		Objective: 4 * time.Second, LongPause: time.Second, Left: 15 * time.Second,
	}
}

func TestWaitingPromptsDontTakeTheSameEngines(t *testing.T) {
	// Two instances have a long prompt each, and both see the same engines become
	// free. Deciding alone, both take them at the same moment: the prompt that came
	// first is then read last, and its caller gets a late answer.
	queue, w := NewQueue(), &world{engines: 18}
	queue.Take(start, askFor("a", 300_000))
	queue.Take(start, askFor("b", 310_000))
	answers := queue.Step(start, w)
	used := map[loadshare.Key]string{}
	for _, answer := range answers {
		if answer.Decision != Placed {
			t.Errorf("%s was refused", answer.ID)
		}
		for _, key := range append(answer.Helpers, answer.Lead) {
			if used[key] != "" {
				t.Errorf("engine %d reads for %s and for %s", key, used[key], answer.ID)
			}
			used[key] = answer.ID
		}
	}
	if len(answers) == 0 || !queue.Waits() {
		t.Errorf("%d are placed, waiting: %t; want the second to wait for the first", len(answers), queue.Waits())
	}
}

func TestShorterPromptsGoFirst(t *testing.T) {
	// More long prompts wait than can be read in time. Read in order of arrival, one
	// of 600,000 tokens takes the time of a dozen of 150,000, and all are late.
	queue, w := NewQueue(), &world{engines: 17}
	queue.Take(start, askFor("a", 600_000))
	queue.Take(start, askFor("b", 150_000))
	answers := queue.Step(start, w)
	if len(answers) == 0 || answers[0].ID != "b" || answers[0].Decision != Placed {
		t.Fatalf("answers %+v, want the short one placed first", answers)
	}
}

func TestHopelessPromptsAreAnsweredAtOnce(t *testing.T) {
	// All engines have more to read than the objective allows. A caller that is told
	// nothing until then could have come back in time.
	queue, w := NewQueue(), &world{engines: 4, loads: map[loadshare.Key]loadshare.Load{}}
	for key := loadshare.Key(1); key <= 4; key++ {
		w.loads[key] = loadshare.Load{Leading: 1, Reading: 6 * time.Second}
	}
	queue.Take(start, askFor("a", 300_000))
	answers := queue.Step(start, w)
	if len(answers) != 1 || answers[0].Decision != Hopeless || answers[0].Excess <= 0 {
		t.Errorf("answers %+v, want a refusal with the time that is missing", answers)
	}
}

func TestManyWaitingPromptsMakeOthersHopeless(t *testing.T) {
	// A burst brings ten times what can be read in the objective. Looking at the
	// engines alone, each of the prompts seems to be next; they are refused only
	// when their time is over, and their callers have no time left to come back.
	queue, w := NewQueue(), &world{engines: 17}
	for i := range 100 {
		queue.Take(start, askFor(fmt.Sprintf("%03d", i), 300_000))
	}
	hopeless := 0
	for _, answer := range queue.Step(start, w) {
		if answer.Decision == Hopeless {
			hopeless++
		}
	}
	if hopeless < 70 {
		t.Errorf("%d of 100 are reported at once that they won't be read in time, at most 10 can be", hopeless)
	}
}

func TestLostAnswersAreRepeated(t *testing.T) {
	// The datagram with the answer is lost. The engines are given away already; a
	// second place for the same prompt would keep others from it.
	queue, w := NewQueue(), &world{engines: 17}
	queue.Take(start, askFor("a", 150_000))
	first := queue.Step(start, w)
	again := queue.Take(start.Add(40*time.Millisecond), askFor("a", 150_000))
	if len(first) != 1 || again != first[0] || w.granted != 1 {
		t.Errorf("answered %+v, then %+v, granted %d times", first, again, w.granted)
	}
}

func TestAskersThatAreGoneAreForgotten(t *testing.T) {
	// An instance dies, or its caller leaves, while a prompt waits. Engines given to it
	// would read nothing while others wait.
	queue, w := NewQueue(), &world{engines: 4, loads: map[loadshare.Key]loadshare.Load{}}
	for key := loadshare.Key(1); key <= 4; key++ {
		w.loads[key] = loadshare.Load{Leading: 1, Reading: time.Second}
	}
	queue.Take(start, askFor("a", 60_000))
	if answers := queue.Step(start, w); len(answers) > 0 {
		t.Fatalf("answered %+v, want it to wait", answers)
	}
	w.loads = nil
	if answers := queue.Step(start.Add(askForgotten+time.Millisecond), w); len(answers) > 0 || queue.Waits() {
		t.Errorf("answered %+v, waiting: %t", answers, queue.Waits())
	}
}

func TestUnknownServicesAreNotDecided(t *testing.T) {
	// The arbiter has older settings than the one who asks, without the service. Held
	// or refused, the call would fail although the one who asks could place it.
	queue, w := NewQueue(), &world{engines: 4}
	ask := askFor("a", 150_000)
	ask.Service = "other"
	queue.Take(start, ask)
	if answers := queue.Step(start, w); len(answers) != 1 || answers[0].Decision != Unknown {
		t.Errorf("answers %+v", answers)
	}
	// It has just started, and no engine has announced itself there.
	w.engines = 0
	queue.Take(start, askFor("b", 150_000))
	if answers := queue.Step(start, w); len(answers) != 1 || answers[0].Decision != Unknown {
		t.Errorf("without engines: answers %+v", answers)
	}
}

// Guards against leading a call by one more engine than its route allows.
func TestOnlyEnginesThatHadTheCallLeadIt(t *testing.T) {
	queue, w := NewQueue(), &world{engines: 18}
	ask := askFor("a", 300_000)
	ask.Leads = []loadshare.Key{17}
	queue.Take(start, ask)
	answers := queue.Step(start, w)
	if len(answers) != 1 || answers[0].Decision != Placed || answers[0].Lead != 17 || len(answers[0].Helpers) == 0 {
		t.Errorf("answers %+v, want engine 17 to lead and others to help", answers)
	}
}
