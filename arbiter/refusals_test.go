package arbiter

import (
	"testing"
	"time"
)

func TestPromptThatComesBackIsRecognised(t *testing.T) {
	// A long prompt is refused and its caller comes back, by another instance and
	// with a new call id. Taken for a new one it gets the whole objective once more and
	// waits for engines, although its answer is late already and its caller leaves soon.
	queue, w := NewQueue(), &world{engines: 1}
	first := askFor("front-1/call-1/0", 600_000)
	first.PromptID, first.Waited = 77, 100*time.Millisecond
	queue.Take(start, first)
	answers := queue.Step(start, w)
	if len(answers) != 1 || answers[0].Decision != Hopeless || answers[0].Age != 0 {
		t.Fatalf("answers %+v", answers)
	}
	again := askFor("front-2/call-2/0", 600_000)
	again.PromptID, again.Left = 77, 13*time.Second
	queue.Take(start.Add(1500*time.Millisecond), again)
	answers = queue.Step(start.Add(1500*time.Millisecond), w)
	if len(answers) != 1 || answers[0].Age != 1600*time.Millisecond {
		t.Errorf("answers %+v, want an age of 1.6 s", answers)
	}
}

func TestNewPromptsHaveNoAge(t *testing.T) {
	// Other callers' prompts, and those that can't be told apart, come after a refusal.
	// With an age that is not theirs they would be refused as late on arrival.
	queue, w := NewQueue(), &world{engines: 1}
	for i, id := range []uint64{77, 0} {
		refused := askFor("refused", 600_000)
		refused.PromptID = id
		at := start.Add(time.Duration(i) * 2 * answerKept)
		queue.Take(at, refused)
		queue.Step(at, w)
	}
	for _, id := range []uint64{78, 0} {
		fresh := askFor("fresh", 10_000)
		fresh.PromptID = id
		queue.Take(start.Add(5*time.Second), fresh)
		answers := queue.Step(start.Add(5*time.Second), w)
		if len(answers) != 1 || answers[0].Age != 0 {
			t.Errorf("prompt %d: answers %+v", id, answers)
		}
		delete(queue.settled, "fresh")
	}
	queue.Step(start.Add(returnKept+time.Minute), w)
	if len(queue.returned) != 0 {
		t.Errorf("%d refusals are remembered for ever", len(queue.returned))
	}
}
