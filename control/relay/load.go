package relay

import (
	"math"
	"slices"
	"time"

	"celeryport/rpc"
	"celeryport/upstream"
)

// Units in which loads are encoded. They are small compared with the differences that affect
// the choice of an upstream, and keep most numbers within one or two bytes.
const (
	ageUnit       = 100 * time.Millisecond
	loadAgeUnit   = 10 * time.Millisecond
	prefillUnit   = 256  // tokens
	heldUnit      = 1024 // tokens
	rateThreshold = 0.05 // a measured rate is sent again after a relative change above this
)

// unitsOf rounds up, so that relaying never makes an upstream look fresher than it is.
func unitsOf(d, unit time.Duration) uint32 {
	return uint32((max(0, d) + unit - 1) / unit)
}

func tokenUnits(tokens, unit int) uint32 { return uint32((max(0, tokens) + unit - 1) / unit) }

// addLoads appends the loads of upstreams that receivers already know.
func (s *Sender) addLoads(now time.Time, b *rpc.UpstreamBatch, known []*tableEntry, before map[uint32]upstream.Announcement) {
	slices.SortFunc(known, func(a, b *tableEntry) int { return int(a.ref) - int(b.ref) })
	var sequences, waiting, longPrefill, loadAges sparse
	last := uint32(0)
	for i, u := range known {
		a, old := &u.announcement, before[u.ref]
		b.Refs = append(b.Refs, u.ref-last)
		last = u.ref
		b.Ages = append(b.Ages, unitsOf(now.Sub(u.receivedAt), ageUnit))
		b.Running = append(b.Running, uint32(a.Load.Running))
		b.QueuedPrefill = append(b.QueuedPrefill, tokenUnits(a.Load.QueuedPrefill, prefillUnit))
		b.Held = append(b.Held, tokenUnits(a.Load.HeldTokens, heldUnit))
		sequences.add(i, uint32(a.Sequence-old.Sequence), defaultStep)
		waiting.add(i, uint32(a.Load.Waiting), uint32(old.Load.Waiting))
		longPrefill.add(i, tokenUnits(a.Load.LongPrefill, prefillUnit), tokenUnits(old.Load.LongPrefill, prefillUnit))
		loadAges.add(i, unitsOf(a.Load.Age, loadAgeUnit), unitsOf(old.Load.Age, loadAgeUnit))
		s.addRates(b, u, &old)
	}
	b.Running, b.QueuedPrefill, b.Held = omitZeros(b.Running), omitZeros(b.QueuedPrefill), omitZeros(b.Held)
	b.Sequences, b.Waiting, b.LongPrefill, b.LoadAges = sequences.column, waiting.column, longPrefill.column, loadAges.column
}

// omitZeros omits a column that contains only zeros. Most upstreams in a fleet that
// forwards calls report no load.
func omitZeros(column []uint32) []uint32 {
	for _, value := range column {
		if value != 0 {
			return column
		}
	}
	return nil
}

// valueAt returns a value of a column, or 0 if the column was omitted.
func valueAt(column []uint32, at int) int {
	if len(column) == 0 {
		return 0
	}
	return int(column[at])
}

// defaultStep is the usual increase of a sequence number between two batches: an upstream
// announces itself about once in every one or two syncs.
const defaultStep = 1

// addRates appends the measured rates of an upstream if they changed noticeably. Otherwise
// the rates that the receivers have stay the reference, because a slow drift would never be
// sent if each small change moved the reference.
func (s *Sender) addRates(b *rpc.UpstreamBatch, u *tableEntry, old *upstream.Announcement) {
	load := &u.announcement.Load
	if !rateChanged(old.Load.PrefillRate, load.PrefillRate) && !rateChanged(old.Load.DecodeRate, load.DecodeRate) {
		load.PrefillRate, load.DecodeRate = old.Load.PrefillRate, old.Load.DecodeRate
		return
	}
	b.RateRefs = append(b.RateRefs, u.ref)
	b.PrefillRates = append(b.PrefillRates, float32(load.PrefillRate))
	b.DecodeRates = append(b.DecodeRates, float32(load.DecodeRate))
}

func rateChanged(old, present float64) bool {
	return math.Abs(present-old) > rateThreshold*math.Abs(old)
}
