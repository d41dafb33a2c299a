package claim

import (
	"testing"
	"time"
)

// Guards against a caller that sends its key again, while the outcome of its first request is on its way to the
// voters, and is told that the request may have run, though it did not or though its answer is known.
func TestResendAwaitsTheOutcomeOnItsWay(t *testing.T) {
	for name, test := range map[string]struct {
		outcome Outcome
		want    State
	}{
		"not run": {Outcome{Kind: Released}, Won},
		"ran":     {Outcome{Kind: Done, Status: 201, Answer: []byte("held")}, Lost},
	} {
		t.Run(name, func(t *testing.T) {
			w := newNetwork(t, 14, "a", "b", "c")
			first := w.claim("hold")
			w.run(time.Second)
			w.settle(first, test.outcome)
			w.inFlight = nil // lost; sent again after Resend
			second := w.claim("hold")
			w.run(time.Second)
			w.expectState(second, test.want)
			if got := second.claimant.Result().Outcome; string(got.Answer) != string(test.outcome.Answer) {
				t.Errorf("outcome %+v", got)
			}
		})
	}
}

// Guards against a resend whose wait for the outcome takes votes from the holder, or lasts until a distant deadline.
func TestWaitForAnOutcomeIsBounded(t *testing.T) {
	w := newNetwork(t, 15, "a", "b", "c")
	first := w.winWithVotesOf("hold", "a", "b")
	second := w.claimAt("hold", w.newestEpoch(), time.Hour)
	wait := outcomeRounds * second.claimant.request.Resend
	w.run(wait / 2)
	w.expectState(second, Undecided)
	w.run(wait)
	w.expectState(second, Lost)
	if o := second.claimant.Result().Outcome; o.Kind != Pending || !first.sent {
		t.Fatalf("outcome %+v, first sent %v", o, first.sent)
	}
}

// Guards against a resend that is told that its request may have run, though it did not or though its answer is known,
// because the voter stopped answering while it held the key.
func TestResendAwaitsTheOutcomeOfAVoterThatStopsAnswering(t *testing.T) {
	for name, test := range map[string]struct {
		outcome Outcome
		want    State
	}{
		"not run": {Outcome{Kind: Released}, Won},
		"ran":     {Outcome{Kind: Done, Status: 201, Answer: []byte("held")}, Lost},
	} {
		t.Run(name, func(t *testing.T) {
			w := newNetwork(t, 16, "a")
			first := w.claim("hold")
			w.run(time.Second)
			second := w.claim("hold")
			resend := second.claimant.request.Resend
			w.run(resend / 2)
			w.crash(w.host("a"))
			w.run((outcomeRounds + 1) * resend)
			w.start(w.host("a"))
			w.run(2 * resend)
			w.expectState(second, Undecided)
			w.settle(first, test.outcome)
			w.run(time.Second)
			w.expectState(second, test.want)
			if got := second.claimant.Result().Outcome; string(got.Answer) != string(test.outcome.Answer) {
				t.Errorf("outcome %+v", got)
			}
		})
	}
}

// Guards against a resend that waits until a distant deadline for the outcome of voters that stay silent.
func TestWaitForSilentVotersIsBounded(t *testing.T) {
	w := newNetwork(t, 17, "a")
	w.claim("hold")
	w.run(time.Second)
	second := w.claimAt("hold", w.newestEpoch(), time.Hour)
	resend := second.claimant.request.Resend
	w.run(resend / 2)
	w.crash(w.host("a"))
	w.run((outcomeRounds + 1) * resend)
	w.expectState(second, Undecided)
	w.run(silentRounds * resend)
	w.expectState(second, Lost)
}

// Guards against a resend of a process that was paused, which is told that its request may have run, though the voters
// have had the release meanwhile.
func TestResendOfAPausedProcessAsksTheVotersAgain(t *testing.T) {
	w := newNetwork(t, 18, "a", "b", "c")
	first := w.claim("hold")
	w.run(time.Second)
	second := w.claim("hold")
	resend := second.claimant.request.Resend
	w.run(resend / 2)
	second.suspended = true
	w.settle(first, Outcome{Kind: Released})
	w.run((silentRounds + 1) * resend)
	second.suspended = false
	w.run(resend)
	w.expectState(second, Won)
}
