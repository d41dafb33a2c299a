package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"celeryport/quota"
	"celeryport/upstream"
)

// BenchmarkDecision measures the work of the policy for one short prompt: its
// admission, the choice of an upstream, the first token and the end.
func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{26, 600, 2400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) { benchmarkDecision(b, count) })
	}
}

func benchmarkDecision(b *testing.B, count int) {
	s := New(Config{}, rand.New(rand.NewPCG(1, 2)))
	now := epoch
	loaded := func(i int, u *upstream.Upstream) {
		u.Announcement.Load.LongPrefill = 10_000 * (i % 3)
		u.Announcement.Load.QueuedPrefill = 12_000 * (i % 3)
	}
	s.Observe(now, engines(now, count, loaded))
	s.Offer(now, prompt("warm", 50_000, now))
	s.ApplyGrants(now, []quota.Grant{{
		Organisation: "bottega", Lease: time.Hour, Rank: 3, Peers: 9,
		FleetMix: quota.Mix{Small: 100_000, Middle: 500_000, Long: float64(count) * 10_000},
	}})
	s.Observe(now, engines(now, count, loaded))
	take(s)
	r := prompt("a", 2000, now)
	r.PrefixHash, r.PrefixTokens = 99, 1000
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		r.Attempt = 0
		r.PrefixHash++
		s.Offer(now, r)
		if len(s.Actions()) != 1 {
			b.Fatal("not sent")
		}
		s.FirstToken(now, r.ID)
		s.Finish(now, r.ID, Outcome{AnswerTokens: 10})
		s.Actions()
	}
}
