package enginemodel

import (
	"math"
	"time"

	"celeryport/upstream"
)

// loadSample is the load as it was at a time.
type loadSample struct {
	at   int64
	load upstream.Load
}

// loadLog keeps the samples that later reports are made of: an engine reports
// its load with a lag.
type loadLog struct {
	lag         int64
	chunk       int
	samples     []loadSample // oldest first
	prefillRate float64
	decodeRate  float64
}

// samplesPerLag is how finely the lag is resolved.
const samplesPerLag = 4

// rateWeight is the weight of the newest measurement in the smoothed rates.
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

// measure smooths the rates over a few equal steps.
func (l *loadLog) measure(s stretch, steps, decodes int) {
	if steps == 0 {
		return
	}
	seconds := time.Duration(s.step).Seconds()
	weight := 1 - math.Pow(1-rateWeight, float64(steps))
	// Small shares measure the fixed part of an iteration, not the prefill.
	if s.shares > l.chunk/2 {
		l.prefillRate += weight * (float64(s.shares)/seconds - l.prefillRate)
	}
	if decodes > 0 {
		l.decodeRate += weight * (1/seconds - l.decodeRate)
	}
}

// note takes a sample if the last one is old enough.
func (l *loadLog) note(e *Engine, now int64) {
	if l.lag == 0 {
		return
	}
	if last := len(l.samples) - 1; last >= 0 && now-l.samples[last].at < l.lag/samplesPerLag {
		return
	}
	l.samples = append(l.samples, loadSample{at: now, load: e.currentLoad()})
	l.trim(now)
}

// trim drops the samples that no report needs any more.
func (l *loadLog) trim(now int64) {
	old := 0
	for old+1 < len(l.samples) && l.samples[old+1].at <= now-l.lag {
		old++
	}
	l.samples = append(l.samples[:0], l.samples[old:]...)
}

// Load returns the load as it was some time ago, and how long ago.
func (e *Engine) Load(now time.Time) upstream.Load {
	e.begin(now)
	e.settle()
	if e.load.lag == 0 {
		return e.currentLoad()
	}
	e.load.note(e, e.now)
	e.load.trim(e.now)
	oldest := e.load.samples[0]
	if oldest.at > e.now-e.load.lag {
		// Nothing is old enough: report the time before the first sample.
		return upstream.Load{PrefillRate: e.load.prefillRate, DecodeRate: e.load.decodeRate, Age: time.Duration(e.now)}
	}
	report := oldest.load
	report.Age = time.Duration(e.now - oldest.at)
	return report
}

// currentLoad measures the load now.
func (e *Engine) currentLoad() upstream.Load {
	load := upstream.Load{
		Running:     len(e.prefilling) + len(e.decoding),
		Waiting:     len(e.waiting),
		HeldTokens:  e.held + e.reserved.tokens,
		PrefillRate: e.load.prefillRate,
		DecodeRate:  e.load.decodeRate,
	}
	for _, t := range e.prefilling {
		load.QueuedPrefill += t.left
		if t.begun && t.PromptTokens > e.config.Chunk {
			load.LongPrefill += t.left
		}
	}
	for _, t := range e.waiting {
		load.QueuedPrefill += t.left
	}
	return load
}
