package metrics

import "time"

// bucketBounds are the upper bounds of the histogram buckets in seconds. They range
// from a gap between tokens to the prefill of a million tokens.
var bucketBounds = []float64{
	0.001, 0.005, 0.01, 0.02, 0.027, 0.05, 0.1, 0.2, 0.5, 0.94, 1.5, 3, 5, 10, 30, 60, 120, 300, 600, 1200,
}

// histogramBuckets holds the values of one Prometheus histogram.
type histogramBuckets struct {
	count      uint64
	sum        float64
	cumulative map[float64]uint64
}

func newHistogramBuckets() *histogramBuckets {
	b := &histogramBuckets{cumulative: map[float64]uint64{}}
	for _, bound := range bucketBounds {
		b.cumulative[bound] = 0
	}
	return b
}

func (b *histogramBuckets) add(value time.Duration, n uint64) {
	seconds := value.Seconds()
	b.count += n
	b.sum += seconds * float64(n)
	for _, bound := range bucketBounds {
		if seconds <= bound {
			b.cumulative[bound] += n
		}
	}
}
