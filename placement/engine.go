package placement

import (
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

// Engine is the known state of one engine, or of one instance of a plain service.
type Engine struct {
	Load     loadshare.Load // combined load of all instances
	Order    uint64         // sort key that is the same on all instances
	SameZone bool           // in the availability zone of this instance
	Avoid    bool           // failed recently or has not reported: last resort
	Failing  bool           // fails calls that others answer: the very last resort, with Avoid
	Tried    bool           // has already received this call
	// HelpOnly marks an engine that may prefill a part of the prompt but not lead the call.
	HelpOnly bool
	// Frail marks an engine that is likely to terminate soon or fails calls. It does not help with prompts of
	// other engines unless too few others are left.
	Frail bool
}

// Call is a call to be placed.
type Call struct {
	Prompt    int           // prompt length in tokens
	Answer    int           // maximum answer length in tokens
	Objective time.Duration // maximum time to the first event
	LongPause time.Duration // maximum pause between two events
	Remaining time.Duration // time until the caller gives up or times out
	Waited    time.Duration // time since the caller first sent it, as far as known
	Age       time.Duration // the part of Waited that passed before it reached this instance
	Ahead     time.Duration // prefill time per engine of the waiting calls ordered before this one
	EndRate   float64       // terminations per engine-second; 0 if unknown
	Draw      [2]float64    // uniform in [0, 1); makes instances with the same view choose different engines
	Spread    bool          // the loads of other instances are unknown: use all usable engines, from a start given by Draw
}

// Plan is the placement of a call.
type Plan struct {
	Lead       int           // index of the engine that decodes the answer
	Helpers    []int         // indexes of the engines that prefill one part each
	Part       time.Duration // prefill time of the part on the lead engine and on each helper
	Spacing    time.Duration // idle time after a part until the engine may start the next one
	Reserved   []Reserved    // memory reserved on helpers, in the order in which it is filled
	FirstEvent time.Duration // predicted time from now to the first event
	Excess     time.Duration // for a rejected call: how much its first event would be too late
	Wait       time.Duration // if not placed yet: time until the next attempt to plan it
	Seen       Seen          // the engine loads behind the decision
}

// Seen summarises the engines that a plan was based on.
type Seen struct {
	Engines int           // number of usable engines
	Tight   int           // how many of them run tight streams
	Backlog time.Duration // mean queued prefill time per engine
}

func summarise(engines []Engine, usable []int) Seen {
	s := Seen{Engines: len(usable)}
	for _, i := range usable {
		s.Backlog += engines[i].Load.PrefillTime / time.Duration(len(usable))
		if engines[i].Load.Tight > 0 {
			s.Tight++
		}
	}
	return s
}

// Reserved is memory reserved on one helper for a part of a prompt.
type Reserved struct {
	Engine int
	Tokens int
}

// PrefillTime returns how long an idle engine takes to prefill a prompt.
func PrefillTime(p *settings.EngineProfile, tokens int) time.Duration {
	if p.PrefillRate <= 0 {
		return 0
	}
	linear := float64(tokens) / p.PrefillRate * float64(time.Second)
	pairs := float64(tokens) * float64(tokens) / 2 / 1e6 * float64(p.PairsPerM)
	steps := 0.0
	if p.Chunk > 0 {
		steps = float64(tokens) / float64(p.Chunk) * float64(p.Step)
	}
	return time.Duration(linear + pairs + steps)
}

// SharedPrefillTime returns how long as many idle engines as may share a prompt take to prefill it.
func SharedPrefillTime(p *settings.EngineProfile, tokens int) time.Duration {
	return PrefillTime(p, tokens) / time.Duration(maxReaders(p, tokens))
}

// maxReaders returns how many engines may share a prompt.
func maxReaders(p *settings.EngineProfile, tokens int) int {
	return min(maxHelpers+1, max(1, tokens/minPartTokens(p)))
}

// passTime returns the duration of a pass without any prefill.
func passTime(p *settings.EngineProfile, streams int) time.Duration {
	if streams == 0 {
		return p.Step
	}
	return time.Duration(max(1, p.Stride)) * (p.Step + time.Duration(streams)*p.StepPerSequence)
}

// slotWait returns how long a call waits for a slot. It assumes that the running streams release
// all slots evenly over the duration of a typical answer.
func slotWait(p *settings.EngineProfile, streams int) time.Duration {
	waiting := streams - p.Slots + 1
	if waiting <= 0 || p.Slots == 0 {
		return 0
	}
	usual := time.Duration(p.MeanAnswer) * p.Step
	return time.Duration(waiting) * usual / time.Duration(p.Slots)
}

// predictFirstEvent predicts the time to a call's first event on an engine: the prefill queued
// before it, its own prefill, the rest of the current pass and its own first pass.
func predictFirstEvent(p *settings.EngineProfile, e *Engine, prefill time.Duration) time.Duration {
	pass := passTime(p, e.Load.Streams)
	before := max(e.Load.PrefillTime, time.Duration(e.Load.Leading)*typicalShortPrefill(p))
	return slotWait(p, e.Load.Streams) + min(before, maxPassPrefill(p)) + prefill + pass/2 + passTime(p, e.Load.Streams+1)
}
