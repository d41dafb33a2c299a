package attachment

import (
	"testing"
	"time"
)

func TestVoterThatIsBackIsTakenAgain(t *testing.T) {
	// The voter of a zone dies and is back. If its instances stayed with the others for
	// good, each such loss would leave them with more work, until one has it all.
	order := []string{"own zone", "b", "c"}
	var c Choice
	now := start
	c.Failed("own zone")
	c.Attached(now, "front-1", "b")
	if got := c.Next(now.Add(time.Second/2), "b", order); got != "" {
		t.Errorf("right after it failed %q is asked", got)
	}
	now = now.Add(2 * reviewInterval)
	if got := c.Next(now, "b", order); got != "own zone" {
		t.Fatalf("%q is asked, want the voter of the own zone", got)
	}
	c.Unanswered(now)
	if got := c.Next(now.Add(reviewInterval), "b", order); got != "" {
		t.Errorf("%q is asked again although it just did not answer", got)
	}
	now = now.Add(reviewPause + reviewInterval)
	if got := c.Next(now, "b", order); got != "own zone" {
		t.Errorf("%q is asked later, want the voter of the own zone", got)
	}
	c.Attached(now, "front-1", "own zone")
	if got := c.Next(now.Add(time.Minute), "own zone", order); got != "" || c.LastFailed() != "" {
		t.Errorf("back at its voter it asks %q and passes over %q", got, c.LastFailed())
	}
}

func TestDetachedInstanceAsksAllInTurn(t *testing.T) {
	// The voter of an instance hears no leader, and some of the others don't either. The
	// instance has to come to each of them, and none may be asked without a pause.
	order := []string{"a", "b", "c"}
	var c Choice
	c.SetDetached(true)
	var asked []string
	now := start
	for range 4 {
		now = now.Add(probeInterval)
		asked = append(asked, c.Next(now, "a", order))
		if got := c.Next(now.Add(probeInterval/2), "a", order); got != "" {
			t.Errorf("%q is asked without a pause", got)
		}
	}
	if asked[0] != "b" || asked[1] != "c" || asked[2] != "b" || asked[3] != "c" {
		t.Errorf("the voters are asked in the order %v", asked)
	}
	if got := new(Choice).Next(now, "a", nil); got != "" {
		t.Errorf("nobody is known, and %q is asked", got)
	}
	if got := (&Choice{detached: true}).Next(now, "a", []string{"a"}); got != "" {
		t.Errorf("there is no other voter, and %q is asked", got)
	}
}
