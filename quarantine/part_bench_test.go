package quarantine

import (
	"encoding/json"
	"testing"
	"time"
)

// fullRegistry returns a registry with as many records, ends, groups and watched parts as are kept.
func fullRegistry() *evidenceRun {
	r := newEvidenceRun()
	for n := range FleetLimits.Parts.Records {
		for range maxPartEnds {
			r.incident([]Part{PartOf(string(rune('0' + n)))})
		}
	}
	r.now = r.now.Add(time.Second)
	return r
}

// BenchmarkEvidenceOnParts measures one piece of evidence against a full registry, and reports what an
// instance gets of it.
func BenchmarkEvidenceOnParts(b *testing.B) {
	r := fullRegistry()
	list, err := json.Marshal(r.List())
	if err != nil {
		b.Fatal(err)
	}
	snapshot, err := json.Marshal(&r.Registry)
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for b.Loop() {
		r.incident([]Part{1, 2, 3})
	}
	b.ReportMetric(float64(len(list)), "list-bytes")
	b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
}
