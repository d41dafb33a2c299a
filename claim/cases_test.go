package claim

import (
	"slices"
	"testing"
	"time"

	"celeryport/consensus"
)

// A caller sends a fabric hold again through another instance, during the first
// one and after it. The bolt of cloth would be cut twice.
func TestDuplicateLearnsTheOutcome(t *testing.T) {
	w := newNetwork(t, 1, "a", "b", "c")
	first := w.claim("hold")
	w.run(time.Second)
	w.expect(first, Won)
	during := w.claim("hold")
	w.run(time.Second)
	w.expect(during, Lost)
	if o := during.claimant.Result().Outcome; o.Kind != Pending {
		t.Fatalf("outcome %+v of a request that still runs", o)
	}
	w.settle(first, Outcome{Kind: Done, Status: 201, Answer: []byte("held")})
	w.run(time.Second)
	after := w.claim("hold")
	w.run(time.Second)
	w.expect(after, Lost)
	if o := after.claimant.Result().Outcome; o.Kind != Done || o.Status != 201 || string(o.Answer) != "held" {
		t.Fatalf("outcome %+v", o)
	}
}

// The upstream refused the connection, which proves that nothing ran. The
// caller's next try must go through.
func TestProvedNotRunFreesTheKey(t *testing.T) {
	w := newNetwork(t, 2, "a", "b", "c")
	first := w.claim("hold")
	w.run(time.Second)
	w.settle(first, Outcome{Kind: Released})
	if first.claimant.MaySend(w.now) {
		t.Fatal("it may still send after the release")
	}
	w.run(time.Second)
	second := w.claim("hold")
	w.run(time.Second)
	w.expect(second, Won)
}

// Two instances ask for the same key at the same moment, and each gets one vote
// while the third voter is down. Nobody could ever send, and both callers would
// wait for the whole lifetime of the key.
func TestSplitVotesAreReleased(t *testing.T) {
	w := newNetwork(t, 3, "a", "b", "c")
	w.crash(w.host("c"))
	x, y := w.claim("hold"), w.claim("hold")
	w.wire = slices.DeleteFunc(w.wire, func(m Message) bool {
		return m.From == x.id && m.To == "b" || m.From == y.id && m.To == "a"
	})
	w.run(5 * time.Second)
	won := 0
	for _, c := range []*caller{x, y} {
		if c.claimant.Result().State == Won {
			won++
		}
	}
	if won != 1 {
		t.Fatalf("%d of the two won", won)
	}
}

// Three holders have one vote each and none can win; said to be split, the
// callers may ask again. Here the first two are gone and never release.
func TestThreeWaySplitIsNotRun(t *testing.T) {
	w := newNetwork(t, 4, "a", "b", "c")
	for _, id := range []consensus.ID{"a", "b"} {
		gone := w.claim("hold")
		w.wire = slices.DeleteFunc(w.wire, func(m Message) bool { return m.From == gone.id && m.To != id })
		w.run(20 * time.Millisecond)
		gone.frozen = true
	}
	third := w.claim("hold")
	w.run(2 * time.Second)
	w.expect(third, Split)
}

// Two of three voters are gone. The caller must hear soon, and not at its own
// far deadline, that nothing was run.
func TestNoMajorityIsToldSoon(t *testing.T) {
	w := newNetwork(t, 12, "a", "b", "c")
	w.crash(w.host("b"))
	w.crash(w.host("c"))
	c := w.claimAt("hold", w.newest(), time.Hour)
	w.run(time.Second)
	w.expect(c, NoMajority)
	w.start(w.host("b"))
	w.run(time.Second)
	again := w.claim("hold")
	w.run(time.Second)
	w.expect(again, Won)
}

// A claimant's process is frozen with the last vote on its way, and wakes after
// its deadline. Its caller was told long ago that the request failed, and may
// have sent it again under another key.
func TestFrozenClaimantDoesNotSendAfterItsDeadline(t *testing.T) {
	w := newNetwork(t, 5, "a", "b", "c")
	c := w.claim("hold")
	c.frozen = true
	w.run(time.Minute)
	c.frozen = false
	for _, m := range c.inbox {
		w.do(c, c.claimant.Step(w.now, m))
	}
	w.expect(c, NoMajority)
	if c.sent {
		t.Fatal("it sent")
	}
	w.run(time.Second)
	again := w.claim("hold")
	w.run(time.Second)
	w.expect(again, Won)

	frozen := w.claim("other")
	w.run(time.Second)
	w.now = w.now.Add(time.Minute)
	if frozen.claimant.MaySend(w.now) {
		t.Fatal("a claim that was won may be sent for ever")
	}
}

// A claim was won at voters a and b. Then b's disk is lost and d takes its place.
// With empty votes, d and c would give the same key to a second holder.
func TestNewVoterCopiesBeforeItVotes(t *testing.T) {
	w := newNetwork(t, 6, "a", "b", "c")
	first := w.claim("hold")
	w.wire = slices.DeleteFunc(w.wire, func(m Message) bool { return m.To == "c" })
	for i := 0; len(w.wire) > 0; {
		w.deliver(i, false)
	}
	w.expect(first, Won)
	w.crash(w.host("b"))
	w.change("a", "b", "c", "d")
	w.change("a", "c", "d")
	w.crash(w.host("a")) // a is away while d joins
	d := w.addHost("d")
	w.enterAll(w.host("c"))
	w.run(2 * time.Second)
	if d.voter.Status().Complete {
		t.Fatal("d votes after copying from c alone")
	}
	second := w.claim("hold")
	w.run(2 * time.Second)
	if second.sent {
		t.Fatal("sent twice")
	}
	w.start(w.host("a"))
	w.enterAll(w.host("a"))
	w.run(3 * time.Second)
	if !d.voter.Status().Complete {
		t.Fatal("d does not vote although a and c answer")
	}
	w.crash(w.host("a"))
	third := w.claim("hold")
	w.run(2 * time.Second)
	w.expect(third, Lost)
	fresh := w.claim("fresh")
	w.run(2 * time.Second)
	w.expect(fresh, Won)
}

// An instance has not heard of a change of the voters and asks the old ones, of
// which b has not heard of it either. A majority of the old voters, a and b, and
// one of the new, c and d, need not share a voter.
func TestVotesOfTwoEpochsDoNotAddUp(t *testing.T) {
	w := newNetwork(t, 7, "a", "b", "c")
	old := w.epochs[0]
	w.change("a", "b", "c", "d")
	w.change("a", "c", "d")
	d := w.addHost("d")
	w.enterAll(w.host("a"))
	w.enterAll(w.host("c"))
	w.run(2 * time.Second)
	if !d.voter.Status().Complete {
		t.Fatal("d does not vote")
	}
	w.winAt("hold", "c", "d")
	w.crash(w.host("c"))
	stale := w.claimAt("hold", old, time.Second)
	w.run(2 * time.Second)
	if stale.sent {
		t.Fatal("sent twice")
	}
}

// The voters change while a claim is under way. It must go on with the new ones
// and not end as if nobody could be reached.
func TestClaimGoesOnWithTheNewVoters(t *testing.T) {
	w := newNetwork(t, 13, "a", "b", "c")
	w.crash(w.host("b"))
	w.crash(w.host("c"))
	c := w.claim("hold")
	w.run(300 * time.Millisecond)
	w.start(w.host("c"))
	w.change("a", "c", "d")
	w.addHost("d")
	w.enterAll(w.host("a"))
	w.enterAll(w.host("c"))
	w.run(300 * time.Millisecond)
	w.do(c, c.claimant.Reconfigure(w.now, w.newest()))
	w.run(300 * time.Millisecond)
	w.expect(c, Won)
}

// All previous voters are lost for good, and with them the votes. Keys that were
// claimed before must not look new.
func TestAfterADisasterVotersAbstainForALifetime(t *testing.T) {
	w := newNetwork(t, 8, "a")
	first := w.claim("hold")
	w.run(time.Second)
	w.expect(first, Won)
	w.crash(w.host("a"))
	w.epochs = []Epoch{{Number: 9, Voters: []consensus.ID{"n"}, Reset: true}}
	w.addHost("n")
	early := w.claim("hold")
	w.run(2 * time.Second)
	w.now = w.now.Add(testLifetime / 2)
	w.tick()
	half := w.claim("hold")
	w.run(2 * time.Second)
	if early.sent || half.sent {
		t.Fatal("sent twice within the lifetime")
	}
	w.now = w.now.Add(testLifetime)
	w.tick()
	later := w.claim("another")
	w.run(2 * time.Second)
	w.expect(later, Won)
}

// A caller resends a key after the voters have dropped their votes: after a day,
// after the lifetime was raised, or at a voter whose clock was set back.
func TestForgottenKeyIsRefused(t *testing.T) {
	w := newNetwork(t, 9, "a", "b", "c")
	key := keyMadeAt(w.now)
	w.claim(key)
	w.run(time.Second)
	w.now = w.now.Add(testLifetime + time.Minute)
	w.tick()
	for _, h := range w.hosts {
		if h.voter.Status().Votes != 0 {
			t.Fatalf("%s still holds the vote", h.id)
		}
		h.voter.SetLifetime(10 * testLifetime)
		h.disk = h.voter.Records()
		if h.id == "b" {
			h.skew = -2 * testLifetime
		}
		w.crash(h)
		w.start(h)
		h.voter.SetLifetime(10 * testLifetime)
	}
	resent := w.claim(key)
	w.run(time.Second)
	w.expect(resent, Expired)
	future := w.claim(keyMadeAt(w.now.Add(time.Hour)))
	w.run(time.Second)
	w.expect(future, Expired)
}

// A release overtakes the request that it belongs to. The late request would
// take the key for a holder that is gone, for the rest of its lifetime.
func TestLateRequestOfAReleasedHolderGetsNoVote(t *testing.T) {
	w := newNetwork(t, 10, "a", "b", "c")
	c := w.claim("hold")
	requests := slices.Clone(w.wire)
	w.wire = nil
	w.now = w.now.Add(11 * time.Second)
	w.run(time.Second)
	w.expect(c, NoMajority)
	c.frozen = true // its process is gone
	w.wire = requests
	w.run(time.Second)
	next := w.claim("hold")
	w.run(time.Second)
	w.expect(next, Won)
}

// More keys are claimed than a voter can hold. If it made room by forgetting,
// a resend would look new.
func TestFullVoterAbstains(t *testing.T) {
	w := newNetwork(t, 11, "a")
	w.host("a").voter.cfg.MaxVotes = 2
	w.host("a").voter.cfg.MaxAnswerBytes = 4
	for _, key := range []string{"1", "2"} {
		c := w.claim(key)
		w.run(time.Second)
		w.settle(c, Outcome{Kind: Done, Answer: []byte("abc")})
		w.run(time.Second)
	}
	third, again := w.claim("3"), w.claim("1")
	w.run(11 * time.Second)
	w.expect(third, NoMajority)
	w.expect(again, Lost)
	if s := w.host("a").voter.Status(); !s.Full || s.Votes != 2 || s.AnswerBytes > 4 {
		t.Fatalf("the voter holds %+v", s)
	}
}
