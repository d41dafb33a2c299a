package forward

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

func TestLostAnswersDontKeepTheirEngineOut(t *testing.T) {
	// Engines read a long prompt and its answer is lost on the way. Until its deadline,
	// ten seconds later, it seems to be read still, and its engines look too busy for
	// any other call, although they stand idle.
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(&Options{Random: rand.New(rand.NewPCG(1, 2))})
		home, helper := &node{}, &node{}
		w := &work{home: home, helpers: []*node{helper}, part: 600 * time.Millisecond, first: time.Second, tight: true}
		f.mu.Lock()
		f.begin(w)
		if home.load.Reading == 0 || helper.load.Reading == 0 {
			t.Error("a prompt that is just sent counts as read")
		}
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		f.mu.Lock()
		if home.load.Reading != 0 || helper.load.Reading != 0 || home.load.Streams != 1 {
			t.Errorf("after three seconds %+v and %+v are under way", home.load, helper.load)
		}
		f.mu.Unlock()
		f.end(w)
		if home.load.Streams != 0 || home.load.Reading != 0 || home.load.Tight != 0 {
			t.Errorf("at the end %+v is left", home.load)
		}
	})
}
