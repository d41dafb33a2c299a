package throttle

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryport/loadshare"
)

var start = time.Unix(1_700_000_000, 0)

func rate(r float64) *float64 { return &r }

// Guards against instances that in total exceed the rate of an upstream
// although each respects its share: instances receive different numbers of
// requests, and all send bursts at the same time.
func TestSharesTogetherKeepTheRate(t *testing.T) {
	const span, step = 4 * time.Second, 5 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 40).Draw(t, "instances")
		named := rapid.SampledFrom([]float64{0.2, 1, 1.2, 3, 8, 25}).Draw(t, "rate")
		mean := rapid.SampledFrom([]float64{0.5, 1.2, 4.6, 16}).Draw(t, "requests to an instance")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		buckets := make([]*Bucket, instances)
		own := make([]float64, instances)
		for i := range buckets {
			buckets[i] = NewBucket(start)
			own[i] = mean * (0.6 + 0.8*random.Float64())
		}
		var sent []time.Time
		for now := start; now.Before(start.Add(3 * span)); now = now.Add(step) {
			for i, b := range buckets {
				b.SetRate(now, Share(named, i, instances, own[i]))
				if random.Float64() < own[i]*step.Seconds() && b.Open(now) {
					b.Take(now)
					sent = append(sent, now)
				}
			}
		}
		first := 0
		for last, at := range sent {
			for at.Sub(sent[first]) > span {
				first++
			}
			if got, allowed := last-first+1, int(1.5*named*span.Seconds()+5); got > allowed {
				t.Fatalf("%d requests in %s of %d instances, allowed %d", got, span, instances, allowed)
			}
		}
	})
}

// Guards against an upstream that receives much less than its rate because the
// rate is divided among instances that have too few requests.
func TestRateOfAnUpstreamIsUsed(t *testing.T) {
	const span, step = time.Minute, 5 * time.Millisecond
	for _, c := range []struct {
		instances   int
		named, mean float64
	}{{8, 1.2, 4.6}, {62, 1.2, 1.2}, {330, 3, 16}, {1, 1, 30}, {8, 20, 8}} {
		random := rand.New(rand.NewPCG(1, 2))
		buckets := make([]*Bucket, c.instances)
		for i := range buckets {
			buckets[i] = NewBucket(start)
		}
		got := 0
		for now := start; now.Before(start.Add(span)); now = now.Add(step) {
			for i, b := range buckets {
				b.SetRate(now, Share(c.named, i, c.instances, c.mean))
				if random.Float64() < c.mean*step.Seconds() && b.Open(now) {
					b.Take(now)
					got++
				}
			}
		}
		if least := 0.6 * c.named * span.Seconds(); float64(got) < least {
			t.Errorf("%+v: %d requests in %s, want %.0f or more", c, got, span, least)
		}
	}
}

// Guards against a rate that expires too early, or never, when answers are
// reordered or cease.
func TestNewestAnswerHolds(t *testing.T) {
	table := NewTable()
	if !table.RecordAnswer(start, 7, rate(1.2)) || table.RecordAnswer(start.Add(time.Second), 7, rate(1.2)) {
		t.Error("RecordAnswer must report only the first answer")
	}
	if !table.RecordAnswer(start.Add(2*time.Second), 7, rate(1)) {
		t.Error("RecordAnswer did not report a changed rate")
	}
	if table.RecordAnswer(start.Add(2*time.Second+reorderWindow/2), 7, nil) {
		t.Error("a reordered answer without a rate ended the rate")
	}
	if got, named := table.Rate(start.Add(3*time.Second), 7); got != 1 || !named {
		t.Errorf("the rate is %g, %t", got, named)
	}
	if !table.RecordAnswer(start.Add(2*time.Second+reorderWindow), 7, nil) {
		t.Error("an answer without a rate did not end the rate")
	}
	if _, named := table.Rate(start.Add(4*time.Second), 7); named {
		t.Error("the ended rate is still valid")
	}
	table.RecordAnswer(start.Add(5*time.Second), 7, rate(1))
	if _, named := table.Rate(start.Add(5*time.Second+minLifetime+time.Second), 7); named {
		t.Error("a rate is still valid after its lifetime without answers")
	}
	table.RecordAnswer(start.Add(6*time.Second), 8, rate(0.05))
	if _, named := table.Rate(start.Add(6*time.Second+minLifetime+time.Second), 8); !named {
		t.Error("a rate of one request in 20 s expired between two answers")
	}
}

// Guards against instances that disagree for a long time after lost datagrams.
func TestTablesAgreeAfterOneExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewTable(), NewTable()
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			one := rapid.SampledFrom([]*Table{a, b}).Draw(t, "where")
			key := loadshare.Key(rapid.IntRange(1, 4).Draw(t, "upstream"))
			one.RecordAnswer(now, key, rapid.SampledFrom([]*float64{nil, rate(1), rate(2)}).Draw(t, "rate"))
		}
		received, err := Decode(now, (&Message{WantsReply: true, Facts: a.Facts(now)}).Encode(now))
		if err != nil {
			t.Fatal(err)
		}
		b.Merge(now, received.Facts)
		reply, err := Decode(now, (&Message{Facts: b.Missing(now, received.Facts)}).Encode(now))
		if err != nil {
			t.Fatal(err)
		}
		a.Merge(now, reply.Facts)
		for key := loadshare.Key(1); key <= 4; key++ {
			rateA, namedA := a.Rate(now, key)
			rateB, namedB := b.Rate(now, key)
			if rateA != rateB || namedA != namedB {
				t.Fatalf("upstream %d: %g %t and %g %t", key, rateA, namedA, rateB, namedB)
			}
		}
	})
}

// Guards against notifying all instances repeatedly of the same rate because it
// loses precision in a datagram.
func TestReceivedRateIsNotAnnouncedAgain(t *testing.T) {
	named := 1.8702828637465352
	a, b := NewTable(), NewTable()
	a.RecordAnswer(start, 7, &named)
	received, err := Decode(start.Add(time.Second), (&Message{Facts: a.Facts(start)}).Encode(start))
	if err != nil {
		t.Fatal(err)
	}
	b.Merge(start.Add(time.Second), received.Facts)
	if b.RecordAnswer(start.Add(2*time.Second), 7, &named) {
		t.Error("a rate received from another instance is reported as changed")
	}
	if missing := b.Missing(start.Add(2*time.Second), received.Facts); len(missing) > 0 {
		t.Errorf("already known facts %+v are sent again", missing)
	}
}

// Guards against a table that grows with each engine that ever specified a
// rate.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for n := range 2 * maxFacts {
		table.RecordAnswer(start.Add(time.Duration(n)*time.Millisecond), loadshare.Key(n), rate(1))
	}
	if len(table.facts) != maxFacts {
		t.Errorf("%d facts", len(table.facts))
	}
	if _, named := table.Rate(start, 2*maxFacts-1); !named {
		t.Error("the newest was evicted")
	}
	if left := table.Facts(start.Add(2 * maxLifetime)); len(left) > 0 {
		t.Errorf("%d facts remain after %s", len(left), 2*maxLifetime)
	}
}

func TestBucketNeverOpensAtRateZero(t *testing.T) {
	b := NewBucket(start)
	if b.Open(start.Add(time.Hour)) {
		t.Error("a bucket without a rate is open")
	}
}

func FuzzDecode(f *testing.F) {
	m := Message{WantsReply: true, Facts: []Fact{{Upstream: 5, Rate: 1.2, Named: true, At: start}}}
	f.Add(m.Encode(start))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(start, data)
		if err != nil {
			return
		}
		again, err := Decode(start, m.Encode(start))
		if err != nil || !slices.Equal(m.Facts, again.Facts) || m.WantsReply != again.WantsReply {
			t.Errorf("%+v is written and read as %+v, %v", m, again, err)
		}
	})
}
