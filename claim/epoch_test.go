package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// winWithVotesOf makes a claimant win with the votes of the given voters only.
func (w *network) winWithVotesOf(key string, ids ...string) *caller {
	w.t.Helper()
	c := w.claim(key)
	w.inFlight = slices.DeleteFunc(w.inFlight, func(m Message) bool { return !slices.Contains(ids, string(m.To)) })
	for len(w.inFlight) > 0 {
		w.deliver(0, false)
	}
	w.expectState(c, Won)
	return c
}

// d copies the votes of b before b has entered the new epoch. b then votes once
// more in the old epoch, where a claim is won that d does not know of.
func TestOnlyVotersOfTheNewEpochAreCopied(t *testing.T) {
	w := newNetwork(t, 21, "a", "b", "c")
	w.changeVoters("c", "d")
	w.enterAll(w.host("c"))
	w.crash(w.host("a"))
	d := w.addHost("d")
	w.run(2 * time.Second)
	w.start(w.host("a"))
	old := w.claimAt("hold", w.epochs[0], 10*time.Second)
	w.run(time.Second)
	w.expectState(old, Won)
	if d.voter.Status().Complete {
		t.Fatal("d copied b's votes while b still voted in the old epoch")
	}
	second := w.claim("hold")
	w.run(time.Second)
	if second.sent {
		t.Fatal("sent twice")
	}
}

// The voters change twice in quick succession. f copies from d and e, which have
// entered both epochs but do not know the old claims yet.
func TestIncompleteVotersAreNotCopied(t *testing.T) {
	w := newNetwork(t, 22, "a", "b", "c")
	w.winWithVotesOf("hold", "a", "b")
	for _, id := range []string{"a", "b", "c"} {
		w.crash(w.hosts[slices.Index([]string{"a", "b", "c"}, id)])
	}
	w.changeVoters("c", "d", "e")
	w.changeVoters("f")
	w.addHost("d")
	w.addHost("e")
	f := &host{id: "f"} // joined from a snapshot: it knows only the last epoch
	w.hosts = append(w.hosts, f)
	w.start(f)
	f.voter.Enter(w.now, w.newestEpoch())
	w.processReady(f)
	w.run(2 * time.Second)
	second := w.claim("hold")
	w.run(time.Second)
	if second.sent || f.voter.Status().Complete {
		t.Fatal("f votes without knowing the claims of the first epoch")
	}
	for _, h := range w.hosts[:3] {
		w.start(h)
		w.enterAll(h)
	}
	w.run(5 * time.Second)
	if !f.voter.Status().Complete {
		t.Fatal("f does not vote although all voters respond")
	}
	third := w.claim("hold")
	w.run(time.Second)
	w.expectState(third, Lost)
}

// One holder won with the votes of a and b, while c's vote belongs to another
// holder, which later releases it. A voter that copied both must not treat the key
// as free after that release.
func TestConflictingVotesBlockTheKey(t *testing.T) {
	w := newNetwork(t, 23, "a", "b", "c")
	w.winWithVotesOf("hold", "a", "b")
	loser := w.claim("hold")
	w.inFlight = slices.DeleteFunc(w.inFlight, func(m Message) bool { return m.To != "c" })
	for len(w.inFlight) > 0 && w.inFlight[0].To == "c" {
		w.deliver(0, false)
	}
	w.inFlight = nil
	loser.suspended = true
	w.crash(w.host("b"))
	w.changeVoters("c", "d")
	w.enterAll(w.host("a"))
	w.enterAll(w.host("c"))
	w.addHost("d")
	w.run(2 * time.Second)
	loser.suspended = false
	w.run(15 * time.Second)
	next := w.claim("hold")
	w.run(2 * time.Second)
	w.expectState(next, Lost)
	fresh := w.claim("fresh")
	w.run(time.Second)
	w.expectState(fresh, Won)
}

// A claimant that has one vote learns of a change of the voters, releases the vote
// and asks the new voters. If the old vote still counted, or if the delayed release
// freed the new votes, another holder could win too.
func TestAttemptsOfTwoEpochsAreSeparate(t *testing.T) {
	for _, lateRelease := range []bool{false, true} {
		w := newNetwork(t, 25, "a", "b", "c")
		x := w.claim("hold")
		w.inFlight = slices.DeleteFunc(w.inFlight, func(m Message) bool { return m.To != "a" })
		w.deliver(0, false)
		w.deliver(0, false)
		w.changeVoters("a", "c", "d")
		w.enterAll(w.host("a"))
		w.enterAll(w.host("c"))
		w.addHost("d")
		w.run(50 * time.Millisecond)
		w.process(x, x.claimant.Reconfigure(w.now, w.newestEpoch()))
		var late []Message
		w.inFlight = slices.DeleteFunc(w.inFlight, func(m Message) bool {
			if m.Kind == SettleRequest && lateRelease {
				late = append(late, m)
				return true
			}
			return m.Kind == VoteRequest && m.To != "c" && !lateRelease
		})
		for len(w.inFlight) > 0 {
			w.deliver(0, false)
		}
		w.inFlight = late
		y := w.claim("hold")
		w.run(50 * time.Millisecond)
		if x.sent == y.sent {
			t.Fatalf("late release %v: sent by the first %v, by the second %v", lateRelease, x.sent, y.sent)
		}
	}
}

// The clock of a is ahead, so a has dropped the vote of a key that has not expired
// for the others. d, whose clock is correct, copies from a and must reject the key.
func TestDroppedBeforeIsCopiedWithTheVotes(t *testing.T) {
	w := newNetwork(t, 24, "a", "b", "c")
	key := keyCreatedAt(w.now)
	w.winWithVotesOf(key, "a", "b")
	w.host("a").skew = testLifetime
	w.now = w.now.Add(testLifetime / 2)
	w.tick()
	w.crash(w.host("b"))
	w.changeVoters("a", "c", "d")
	w.enterAll(w.host("a"))
	w.enterAll(w.host("c"))
	w.addHost("d")
	w.run(2 * time.Second)
	if !w.host("d").voter.Status().Complete {
		t.Fatal("d does not vote")
	}
	second := w.claim(key)
	w.run(2 * time.Second)
	w.expectState(second, Expired)
}

// A new voter copies from voters with full tables. If it requested everything at
// once, they would send hundreds of megabytes to an instance with 128 MB of memory.
func TestVotesAreCopiedInParts(t *testing.T) {
	w := newNetwork(t, 26, "a", "b", "c")
	for i := range 200 {
		w.claim(fmt.Sprint("k", i))
	}
	w.run(time.Second)
	w.changeVoters("a", "b", "c", "d")
	for _, h := range w.hosts {
		w.enterAll(h)
	}
	w.run(5 * time.Second)
	w.inFlight = nil
	d := w.addHost("d")
	for len(w.inFlight) > 0 {
		largest, count := 0, 0
		for _, m := range w.inFlight {
			largest = max(largest, len(m.Votes))
			count++
		}
		if count > 3+2 || largest > 60 { // three voters, plus requests that remain from the first epoch
			t.Fatalf("%d messages in flight, with up to %d votes", count, largest)
		}
		w.deliver(0, false)
	}
	if !d.voter.Status().Complete || d.voter.Status().Votes != 200 {
		t.Fatalf("copied: %+v", d.voter.Status())
	}
}
