package recovery

import (
	"fmt"
	"testing"

	"celeryport/loadshare"
	"celeryport/placement"
)

// BenchmarkView measures the check of a new view in a fleet of 330 instances and nine zones.
func BenchmarkView(b *testing.B) {
	v, listed := NewView(start), listOf(37, 8)
	for zone := range 8 {
		v.RecordZone(start, loadshare.Key(zone), true)
	}
	for v.Observe(start, listed, true); b.Loop(); {
		v.Complete(start.Add(settleTime), listed)
	}
}

// BenchmarkPlacement measures a short prompt on 600 engines with residual load, packed and spread.
func BenchmarkPlacement(b *testing.B) {
	engines, residuals := make([]placement.Engine, 600), make([]Residual, 600)
	for i := range engines {
		engines[i].Order = uint64(i)
		residuals[i].Record(start, &EngineState{Active: 3}, capacity, loadshare.Load{}, loadshare.Load{}, false, true)
	}
	for _, spread := range []bool{false, true} {
		b.Run(fmt.Sprint(spread), func(b *testing.B) {
			starts, call := Spread{}, shortCall
			for call.Spread = spread; b.Loop(); call.Draw = starts.Next(7, 330) {
				for i := range engines {
					engines[i].Load = residuals[i].Unconfirmed(start, loadshare.Load{})
				}
				placement.Prompt(engineOf12Slots, engines, &call)
			}
		})
	}
}
