package relay

import (
	"math"
	"slices"
	"time"

	"celeryport/rpc"
	"celeryport/upstream"
)

// The units in which loads travel. They are small against what the choice of an
// upstream depends on, and keep most numbers in one or two bytes.
const (
	ageUnit     = 100 * time.Millisecond
	loadAgeUnit = 10 * time.Millisecond
	prefillUnit = 256  // tokens
	heldUnit    = 1024 // tokens
	rateChange  = 0.05 // a measured rate is sent again when it moved by this part
)

// unitsOf rounds up, so that relaying never makes an upstream look fresher.
func unitsOf(d, unit time.Duration) uint32 {
	return uint32((max(0, d) + unit - 1) / unit)
}

func tokenUnits(tokens, unit int) uint32 { return uint32((max(0, tokens) + unit - 1) / unit) }

// addLoads appends the loads of upstreams that the receivers know.
func (s *Sender) addLoads(now time.Time, b *rpc.UpstreamBatch, known []*sent, before map[uint32]upstream.Announcement) {
	slices.SortFunc(known, func(a, b *sent) int { return int(a.ref) - int(b.ref) })
	last := uint32(0)
	for _, u := range known {
		a, old := &u.announcement, before[u.ref]
		b.Refs = append(b.Refs, u.ref-last)
		last = u.ref
		b.Sequences = append(b.Sequences, uint32(a.Sequence-old.Sequence))
		b.Ages = append(b.Ages, unitsOf(now.Sub(u.heardAt), ageUnit))
		b.Running = append(b.Running, uint32(a.Load.Running))
		b.Waiting = append(b.Waiting, uint32(a.Load.Waiting))
		b.QueuedPrefill = append(b.QueuedPrefill, tokenUnits(a.Load.QueuedPrefill, prefillUnit))
		b.LongPrefill = append(b.LongPrefill, tokenUnits(a.Load.LongPrefill, prefillUnit))
		b.Held = append(b.Held, tokenUnits(a.Load.HeldTokens, heldUnit))
		b.LoadAges = append(b.LoadAges, unitsOf(a.Load.Age, loadAgeUnit))
		if moved(old.Load.PrefillRate, a.Load.PrefillRate) || moved(old.Load.DecodeRate, a.Load.DecodeRate) {
			b.RateRefs = append(b.RateRefs, u.ref)
			b.PrefillRates = append(b.PrefillRates, float32(a.Load.PrefillRate))
			b.DecodeRates = append(b.DecodeRates, float32(a.Load.DecodeRate))
			continue
		}
		// What receivers have stays the reference, else a slow drift would never
		// be sent.
		a.Load.PrefillRate, a.Load.DecodeRate = old.Load.PrefillRate, old.Load.DecodeRate
	}
}

func moved(old, present float64) bool {
	return math.Abs(present-old) > rateChange*math.Abs(old)
}
