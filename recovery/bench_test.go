package recovery

import (
	"fmt"
	"testing"

	"celeryport/loadshare"
	"celeryport/placement"
)

// BenchmarkView measures the check of a view that has just started, for each call, with the
// instances of one of nine zones of a fleet of 330.
func BenchmarkView(b *testing.B) {
	listed := listOf(37, 8)
	v := NewView(start)
	for _, peer := range listed.Peers[:30] {
		v.RecordReport(start, peer, true)
	}
	for zone := range 8 {
		v.RecordZone(start, loadshare.Key(zone), true)
	}
	v.Observe(start, listed, true)
	now := start.Add(settleTime)
	for b.Loop() {
		if v.Complete(now, listed) {
			b.Fatal("complete")
		}
	}
}

// BenchmarkResidual measures the residual load of all engines, as for the placement of one call.
func BenchmarkResidual(b *testing.B) {
	residuals := make([]Residual, 600)
	for i := range residuals {
		residuals[i].Record(start, &EngineState{Active: 6}, capacity, loadshare.Load{}, loadshare.Load{}, false, true)
	}
	for b.Loop() {
		for i := range residuals {
			residuals[i].Unconfirmed(start, loadshare.Load{Streams: 1})
		}
	}
}

// BenchmarkSpread measures the placement of a short prompt on 600 engines, packed and spread.
func BenchmarkSpread(b *testing.B) {
	engines := make([]placement.Engine, 600)
	for i := range engines {
		engines[i].Order = uint64(i)
	}
	for _, spread := range []bool{false, true} {
		b.Run(fmt.Sprint(spread), func(b *testing.B) {
			starts, call := Spread{}, shortCall
			for call.Spread = spread; b.Loop(); {
				call.Draw = starts.Next(7, 330)
				placement.Prompt(engineOf12Slots, engines, &call)
			}
		})
	}
}
