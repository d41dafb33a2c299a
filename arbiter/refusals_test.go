package arbiter

import (
	"testing"
	"time"
)

func TestPromptThatComesBackIsRecognised(t *testing.T) {
	// A long prompt is rejected and its caller retries, through another instance and with a new
	// call ID. If it counted as new it would get the whole objective once more and wait for
	// engines, although its answer is already late and its caller gives up soon.
	queue, w := NewQueue(), &fakeFleets{engines: 1}
	first := newRequest("front-1/call-1/0", 600_000)
	first.PromptID, first.Waited = 77, 100*time.Millisecond
	queue.Accept(start, first)
	answers := queue.Step(start, w)
	if len(answers) != 1 || answers[0].Decision != Infeasible || answers[0].Age != 0 {
		t.Fatalf("answers %+v", answers)
	}
	again := newRequest("front-2/call-2/0", 600_000)
	again.PromptID, again.Remaining = 77, 13*time.Second
	queue.Accept(start.Add(1500*time.Millisecond), again)
	answers = queue.Step(start.Add(1500*time.Millisecond), w)
	if len(answers) != 1 || answers[0].Age != 1600*time.Millisecond {
		t.Errorf("answers %+v, want an age of 1.6 s", answers)
	}
}

func TestNewPromptsHaveNoAge(t *testing.T) {
	// After a rejection, prompts of other callers and prompts without an ID arrive. If they were
	// given the age of the rejected one they would be rejected as late on arrival.
	queue, w := NewQueue(), &fakeFleets{engines: 1}
	for i, id := range []uint64{77, 0} {
		refused := newRequest("refused", 600_000)
		refused.PromptID = id
		at := start.Add(time.Duration(i) * 2 * answerTTL)
		queue.Accept(at, refused)
		queue.Step(at, w)
	}
	for _, id := range []uint64{78, 0} {
		fresh := newRequest("fresh", 10_000)
		fresh.PromptID = id
		queue.Accept(start.Add(5*time.Second), fresh)
		answers := queue.Step(start.Add(5*time.Second), w)
		if len(answers) != 1 || answers[0].Age != 0 {
			t.Errorf("prompt %d: answers %+v", id, answers)
		}
		delete(queue.answered, "fresh")
	}
	queue.Step(start.Add(refusalTTL+time.Minute), w)
	if len(queue.refusals) != 0 {
		t.Errorf("%d refusals are never removed", len(queue.refusals))
	}
}
