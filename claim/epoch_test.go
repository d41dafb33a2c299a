package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// winAt lets a claimant win with the votes of some voters only.
func (w *network) winAt(key string, ids ...string) *caller {
	w.t.Helper()
	c := w.claim(key)
	w.wire = slices.DeleteFunc(w.wire, func(m Message) bool { return !slices.Contains(ids, string(m.To)) })
	for len(w.wire) > 0 {
		w.deliver(0, false)
	}
	w.expect(c, Won)
	return c
}

// d copies the votes of b before b has heard of the new epoch. After that, b
// votes once more in the old one, where a claim is won that d knows nothing of.
func TestOnlyVotersOfTheNewEpochAreCopied(t *testing.T) {
	w := newNetwork(t, 21, "a", "b", "c")
	w.change("c", "d")
	w.enterAll(w.host("c"))
	w.crash(w.host("a"))
	d := w.addHost("d")
	w.run(2 * time.Second)
	w.start(w.host("a"))
	old := w.claimAt("hold", w.epochs[0], 10*time.Second)
	w.run(time.Second)
	w.expect(old, Won)
	if d.voter.Status().Complete {
		t.Fatal("d took b's votes while b still voted in the old epoch")
	}
	second := w.claim("hold")
	w.run(time.Second)
	if second.sent {
		t.Fatal("sent twice")
	}
}

// The voters change twice in quick succession. d and e have entered both epochs
// but know none of the old claims yet when f copies from them.
func TestIncompleteVotersAreNotCopied(t *testing.T) {
	w := newNetwork(t, 22, "a", "b", "c")
	w.winAt("hold", "a", "b")
	for _, id := range []string{"a", "b", "c"} {
		w.crash(w.hosts[slices.Index([]string{"a", "b", "c"}, id)])
	}
	w.change("c", "d", "e")
	w.change("f")
	w.addHost("d")
	w.addHost("e")
	f := &host{id: "f"} // joined by a snapshot: it hears of the last epoch only
	w.hosts = append(w.hosts, f)
	w.start(f)
	f.voter.Enter(w.now, w.newest())
	w.pump(f)
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
		t.Fatal("f does not vote although everyone answers")
	}
	third := w.claim("hold")
	w.run(time.Second)
	w.expect(third, Lost)
}

// One holder won at a and b while c's vote belongs to another, who then gives up.
// A voter that copied both must not take the key as free when the loser
// releases it.
func TestConflictingVotesBlockTheKey(t *testing.T) {
	w := newNetwork(t, 23, "a", "b", "c")
	w.winAt("hold", "a", "b")
	loser := w.claim("hold")
	w.wire = slices.DeleteFunc(w.wire, func(m Message) bool { return m.To != "c" })
	for len(w.wire) > 0 && w.wire[0].To == "c" {
		w.deliver(0, false)
	}
	w.wire = nil
	loser.frozen = true
	w.crash(w.host("b"))
	w.change("c", "d")
	w.enterAll(w.host("a"))
	w.enterAll(w.host("c"))
	w.addHost("d")
	w.run(2 * time.Second)
	loser.frozen = false
	w.run(15 * time.Second)
	next := w.claim("hold")
	w.run(2 * time.Second)
	w.expect(next, Lost)
	fresh := w.claim("fresh")
	w.run(time.Second)
	w.expect(fresh, Won)
}

// A claimant hears of a change of the voters while it has one vote, releases it
// and asks the new ones. If the old vote still counted, or if the release, which
// arrives late, freed the new ones, another holder could win too.
func TestAttemptsOfTwoEpochsAreApart(t *testing.T) {
	for _, lateRelease := range []bool{false, true} {
		w := newNetwork(t, 25, "a", "b", "c")
		x := w.claim("hold")
		w.wire = slices.DeleteFunc(w.wire, func(m Message) bool { return m.To != "a" })
		w.deliver(0, false)
		w.deliver(0, false)
		w.change("a", "c", "d")
		w.enterAll(w.host("a"))
		w.enterAll(w.host("c"))
		w.addHost("d")
		w.run(50 * time.Millisecond)
		w.do(x, x.claimant.Reconfigure(w.now, w.newest()))
		var late []Message
		w.wire = slices.DeleteFunc(w.wire, func(m Message) bool {
			if m.Kind == SettleRequest && lateRelease {
				late = append(late, m)
				return true
			}
			return m.Kind == VoteRequest && m.To != "c" && !lateRelease
		})
		for len(w.wire) > 0 {
			w.deliver(0, false)
		}
		w.wire = late
		y := w.claim("hold")
		w.run(50 * time.Millisecond)
		if x.sent == y.sent {
			t.Fatalf("late release %v: sent by the first %v, by the second %v", lateRelease, x.sent, y.sent)
		}
	}
}

// The clock of a runs ahead, so it has dropped the vote of a key that is still
// fresh for the others. d, whose clock is right, copies from a.
func TestForgottenKeysAreCopiedToo(t *testing.T) {
	w := newNetwork(t, 24, "a", "b", "c")
	key := keyMadeAt(w.now)
	w.winAt(key, "a", "b")
	w.host("a").skew = testLifetime
	w.now = w.now.Add(testLifetime / 2)
	w.tick()
	w.crash(w.host("b"))
	w.change("a", "c", "d")
	w.enterAll(w.host("a"))
	w.enterAll(w.host("c"))
	w.addHost("d")
	w.run(2 * time.Second)
	if !w.host("d").voter.Status().Complete {
		t.Fatal("d does not vote")
	}
	second := w.claim(key)
	w.run(2 * time.Second)
	w.expect(second, Expired)
}

// A new voter copies from voters with full tables. Asked for everything at once,
// they would send hundreds of megabytes to an instance that has 128.
func TestVotesAreCopiedInParts(t *testing.T) {
	w := newNetwork(t, 26, "a", "b", "c")
	for i := range 200 {
		w.claim(fmt.Sprint("k", i))
	}
	w.run(time.Second)
	w.change("a", "b", "c", "d")
	for _, h := range w.hosts {
		w.enterAll(h)
	}
	w.run(5 * time.Second)
	w.wire = nil
	d := w.addHost("d")
	for len(w.wire) > 0 {
		largest, open := 0, 0
		for _, m := range w.wire {
			largest = max(largest, len(m.Votes))
			open++
		}
		if open > 3+2 || largest > 60 { // of three voters, and what is left of the first epoch
			t.Fatalf("%d messages on the way, with up to %d votes", open, largest)
		}
		w.deliver(0, false)
	}
	if !d.voter.Status().Complete || d.voter.Status().Votes != 200 {
		t.Fatalf("copied: %+v", d.voter.Status())
	}
}
