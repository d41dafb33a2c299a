package enginemodel

import (
	"math"
	"time"

	"celeryport/upstream"
)

// loadSample is the load at a point in time.
type loadSample struct {
	at   int64
	load upstream.Load
}

// loadLog stores samples of the load for later reports, because an engine reports its
// load with a lag.
type loadLog struct {
	lag         int64
	chunk       int
	samples     []loadSample // oldest first
	prefillRate float64
	decodeRate  float64
}

// samplesPerLag is the number of samples taken per lag, which is the resolution of the reports.
const samplesPerLag = 4

// rateWeight is the weight of the latest measurement in the exponentially smoothed rates.
const rateWeight = 0.2

func newLoadLog(c Config) loadLog {
	step := c.DecodeStep.Seconds()
	return loadLog{
		lag:         int64(c.LoadLag),
		chunk:       c.Chunk,
		prefillRate: float64(c.Chunk) / (step + float64(c.Chunk)/c.PrefillRate),
		decodeRate:  1 / step,
	}
}

// measure updates the smoothed rates with a number of equal steps.
func (l *loadLog) measure(p phase, steps, decodes int) {
	if steps == 0 {
		return
	}
	seconds := time.Duration(p.step).Seconds()
	weight := 1 - math.Pow(1-rateWeight, float64(steps))
	// Steps with small shares are not measured: the fixed duration of an iteration
	// dominates them, not the prefill.
	if p.shares > l.chunk/2 {
		l.prefillRate += weight * (float64(p.shares)/seconds - l.prefillRate)
	}
	if decodes > 0 {
		l.decodeRate += weight * (1/seconds - l.decodeRate)
	}
}

// addSample adds a sample if the last one is old enough.
func (l *loadLog) addSample(e *Engine, now int64) {
	if l.lag == 0 {
		return
	}
	if last := len(l.samples) - 1; last >= 0 && now-l.samples[last].at < l.lag/samplesPerLag {
		return
	}
	l.samples = append(l.samples, loadSample{at: now, load: e.currentLoad()})
	l.trim(now)
}

// trim removes the samples that no report needs any more.
func (l *loadLog) trim(now int64) {
	old := 0
	for old+1 < len(l.samples) && l.samples[old+1].at <= now-l.lag {
		old++
	}
	l.samples = append(l.samples[:0], l.samples[old:]...)
}

// Load returns the load report, whose Age is the time since the load was measured.
func (e *Engine) Load(now time.Time) upstream.Load {
	e.advanceTo(now)
	e.applyElapsed()
	if e.load.lag == 0 {
		return e.currentLoad()
	}
	e.load.addSample(e, e.now)
	e.load.trim(e.now)
	oldest := e.load.samples[0]
	if oldest.at > e.now-e.load.lag {
		// No sample is old enough: report an idle engine, the state before the first sample.
		return upstream.Load{PrefillRate: e.load.prefillRate, DecodeRate: e.load.decodeRate, Age: time.Duration(e.now)}
	}
	report := oldest.load
	report.Age = time.Duration(e.now - oldest.at)
	return report
}

// currentLoad returns the current load.
func (e *Engine) currentLoad() upstream.Load {
	load := upstream.Load{
		Running:     len(e.prefilling) + len(e.decoding),
		Waiting:     len(e.waiting),
		HeldTokens:  e.held + e.reserved.tokens,
		PrefillRate: e.load.prefillRate,
		DecodeRate:  e.load.decodeRate,
	}
	for _, t := range e.prefilling {
		load.QueuedPrefill += t.prefillLeft
		if t.prefillStarted && t.PromptTokens > e.config.Chunk {
			load.LongPrefill += t.prefillLeft
		}
	}
	for _, t := range e.waiting {
		load.QueuedPrefill += t.prefillLeft
	}
	return load
}
