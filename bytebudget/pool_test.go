package bytebudget

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against messages that hold memory and wait for each other without end.
func TestMessagesNeverWaitForEachOther(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			size := int64(1000 << 10)
			if seed >= 100 {
				size = 5 * ShortMessage
			}
			random := rand.New(rand.NewPCG(seed, 1))
			p := NewPool(size)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var reading sync.WaitGroup
			for range 50 {
				most := 1 + random.Int64N(size)
				claim, needs, pause := p.Claim(most), 1+random.Int64N(most), time.Duration(random.Int64N(int64(time.Millisecond)))
				reading.Go(func() {
					defer claim.Release()
					for range 2 {
						claim.Release() // claims are used again
						for held := int64(0); held < needs; time.Sleep(pause) {
							n := min(needs-held, max(100, held))
							if err := claim.Await(ctx, n); err != nil {
								t.Errorf("seed %d: a message of %d bytes waits for %d with %d: %v", seed, needs, n, held, err)
								return
							}
							held += n
						}
					}
					for range 4 { // its receiver reads
						claim.Return(needs / 4)
						time.Sleep(pause)
					}
				})
			}
			reading.Wait()
			if p.Free() != size || p.short != size/shortPart || p.setAside != size/setAsidePart || len(p.waiting) > 0 {
				t.Errorf("seed %d: %d and %d bytes are free at the end, %d wait", seed, p.Free(), p.setAside, len(p.waiting))
			}
		})
	}
}

// Guards against small messages that wait for the large ones that hold all the rest.
func TestSmallMessagesNeedNoPartOfTheLargeOnes(t *testing.T) {
	const size = 16 << 20
	p := NewPool(size)
	large := []*Claim{p.Claim(size / 2), p.Claim(size / 2)}
	for _, c := range large {
		if p.enter(c, size/2) != nil {
			t.Fatal("a large message does not fit")
		}
	}
	if small := p.Claim(SmallMessage); p.enter(small, SmallMessage) != nil {
		t.Error("a small message waits")
	}
	if p.enter(p.Claim(size/2), beginning) != nil {
		t.Error("the beginning of a message waits")
	}
	if p.enter(p.Claim(size/2), SmallMessage+1) == nil {
		t.Error("memory is granted beyond the bound")
	}
}

// Guards against short messages that wait for long ones that hold all the rest, and against ones that hold all that is left.
func TestShortMessagesNeedNoPartOfTheLongOnes(t *testing.T) {
	const size = 16 << 20
	p := NewPool(size)
	long := p.Claim(size)
	if p.enter(long, size) != nil {
		t.Fatal("a long message does not fit")
	}
	for n := range int64(size / shortPart / ShortMessage) {
		if p.enter(p.Claim(ShortMessage), ShortMessage) != nil {
			t.Errorf("%d short messages, the next one waits", n)
		}
	}
	more := p.enter(p.Claim(ShortMessage), SmallMessage+1)
	if more == nil {
		t.Error("memory is granted beyond the bound")
	}
	if p.enter(p.Claim(SmallMessage), SmallMessage) != nil {
		t.Error("a small message waits")
	}
	long.Return(SmallMessage + 1)
	select {
	case <-more.granted:
	default:
		t.Error("what a message no longer needs is not granted")
	}
	if long.Release(); p.Free() != size-SmallMessage-1 {
		t.Errorf("%d bytes are free", p.Free())
	}
}

// Guards against short messages that wait because many long ones, which wait themselves, hold the part for short ones.
func TestBeginningsOfLongMessagesLeaveRoomForShortOnes(t *testing.T) {
	const size = 16 << 20
	p := NewPool(size)
	if p.enter(p.Claim(size), size) != nil {
		t.Fatal("a long message does not fit")
	}
	var waiting []*Claim
	for range 1000 {
		c := p.Claim(size / 2)
		waiting = append(waiting, c)
		more := p.enter(c, beginning)
		for ; more == nil; more = p.enter(c, c.total()) {
			if c.total() > SmallMessage {
				t.Fatal("a message that waits holds more than its beginning")
			}
		}
		p.leave(more)
	}
	const shorts = size / shortPart / beginningsPart / ShortMessage
	for n := range int64(shorts) {
		if p.enter(p.Claim(ShortMessage), ShortMessage) != nil {
			t.Errorf("%d short messages, the next one waits", n)
		}
	}
	for _, c := range waiting {
		c.Release()
	}
	if p.begun != 0 || p.short != size/shortPart-shorts*ShortMessage {
		t.Errorf("%d bytes are held by long messages, %d free for short ones", p.begun, p.short)
	}
}

// Guards against messages that wait on for memory that is free because one before them, whose wait has ended, did not fit.
func TestEndedWaitHoldsNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 16 << 20
		p := NewPool(size)
		if p.enter(p.Claim(size), size) != nil {
			t.Fatal("a long message does not fit")
		}
		var held []*Claim
		for range size / shortPart / ShortMessage {
			c := p.Claim(ShortMessage)
			held = append(held, c)
			if p.enter(c, ShortMessage) != nil {
				t.Fatal("a short message does not fit")
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		first := make(chan error, 1)
		go func() { first <- p.Claim(ShortMessage).Await(ctx, ShortMessage) }()
		synctest.Wait()
		second := p.enter(p.Claim(ShortMessage), ShortMessage/4)
		if second == nil {
			t.Fatal("memory is granted beyond the bound")
		}
		held[0].Return(ShortMessage / 2)
		if err := <-first; err == nil {
			t.Fatal("memory is granted beyond the bound")
		}
		select {
		case <-second.granted:
		default:
			t.Error("a message waits while the memory for it is free")
		}
	})
}

// Guards against a burst of messages after which all that follow wait, although the pool has room for many more than come:
// the beginnings of messages that wait for the rest hold most of it, so that few of them end at a time.
func TestMessagesAreServedAgainAfterABurst(t *testing.T) {
	const (
		size, burst = 512 << 10, 60
		interval    = 80 * time.Millisecond // 6 MB are read at a time
		reading     = time.Second
		deadline    = 10 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(16 << 20)
		var all sync.WaitGroup
		var late atomic.Int64
		message := func() {
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			c := p.Claim(size)
			defer c.Release()
			for held := int64(0); held < size; time.Sleep(time.Millisecond) {
				n := min(max(beginning, held), SmallMessage)
				if c.Await(ctx, n) != nil {
					late.Add(1)
					return
				}
				held += n
			}
			time.Sleep(reading)
		}
		for n := range 400 {
			if n == 100 {
				for range burst {
					all.Go(message)
				}
			}
			all.Go(message)
			time.Sleep(interval)
		}
		all.Wait()
		if n := late.Load(); n > 0 {
			t.Errorf("%d of %d messages have waited for %s", n, 400+burst, deadline)
		}
	})
}
