package ledger

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency holds the quantiles of one latency measure. They are computed from the
// merged histograms of all instances, since quantiles can't be aggregated.
type Latency struct {
	Organisation string        `json:"organisation,omitempty"`
	Class        string        `json:"class,omitempty"`
	Length       Length        `json:"length"`
	Measure      Measure       `json:"measure"`
	Count        int64         `json:"count"`
	P50          time.Duration `json:"p50_ns"`
	P95          time.Duration `json:"p95_ns"`
	P99          time.Duration `json:"p99_ns"`
}

// Measure is a kind of latency.
type Measure string

// The latency measures of a report.
const (
	FirstToken Measure = "first token"
	TokenGap   Measure = "token gap"
	Total      Measure = "service call"
)

var measures = map[FieldKind]Measure{
	KindFirstToken: FirstToken,
	KindTokenGap:   TokenGap,
	KindTotal:      Total,
}

// Histograms record values in microseconds, up to one day. Three significant
// digits are finer than the bins that are recorded, so the histograms add no error.
const (
	histogramLowest  = 1
	histogramHighest = int64(24 * time.Hour / time.Microsecond)
	histogramDigits  = 3
)

// latencies returns the quantiles of all latencies in the counters, by kind and
// length bucket.
func (c *Counters) latencies() []Latency {
	var all []Latency
	var histogram *hdrhistogram.Histogram
	var currentKey Field
	flush := func() {
		if histogram != nil {
			all = append(all, quantiles(currentKey, histogram))
		}
	}
	for i, f := range c.Fields {
		if !f.isBin() {
			continue
		}
		if head := f &^ binMask; histogram == nil || head != currentKey {
			flush()
			currentKey, histogram = head, newHistogram()
		}
		record(histogram, f, c.Values[i])
	}
	flush()
	return all
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
}

func record(h *hdrhistogram.Histogram, f Field, n uint64) {
	value := min(max(binMidpoint(f.bin()), histogramLowest), histogramHighest)
	if err := h.RecordValues(value, int64(n)); err != nil {
		panic("ledger: histogram rejected a value within its bounds: " + err.Error())
	}
}

func quantiles(head Field, h *hdrhistogram.Histogram) Latency {
	at := func(percent float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
	}
	return Latency{
		Length:  head.Length(),
		Measure: measures[head.Kind()],
		Count:   h.TotalCount(),
		P50:     at(50),
		P95:     at(95),
		P99:     at(99),
	}
}
