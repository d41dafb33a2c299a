package placement

import (
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

// Engine is what is known of one engine, or of one instance of a plain service.
type Engine struct {
	Load  loadshare.Load // of all instances together
	Order uint64         // a fixed order that all instances agree on
	Near  bool           // in the availability zone of this instance
	Avoid bool           // failed of late, or was not heard of: only if there is no other
	Tried bool           // had this call already
	// HelpOnly says that the engine may read a part of the call but not lead it.
	HelpOnly bool
}

// Call is what has to be placed.
type Call struct {
	Prompt    int           // tokens
	Answer    int           // tokens at most
	Objective time.Duration // until the first event
	LongPause time.Duration // between two events
	Left      time.Duration // until nobody waits any more
	Waited    time.Duration // since its caller sent it first, as far as is known
	Age       time.Duration // of this, before it came here
	Ahead     time.Duration // of reading at each engine that comes first, but waits itself
	Draw      [2]float64    // uniform in [0, 1); instances that know the same choose differently by it
}

// Plan says where a call goes.
type Plan struct {
	Lead       int           // engine that answers
	Helpers    []int         // engines that read a part of the prompt each
	Part       time.Duration // reading at the lead engine and each helper
	Apart      time.Duration // after its part, until one of these engines may read the next
	Reserved   []Reserved    // memory that the prompt needs at helpers, in the order in which it is filled
	FirstEvent time.Duration // predicted, from now
	Excess     time.Duration // of a call that is refused: by how much its first event would be too late
	Wait       time.Duration // not placed yet: until it should be planned again
	Seen       Seen          // what decided
}

// Seen sums up the engines that a plan was made from.
type Seen struct {
	Engines int           // that may be taken
	Tight   int           // of these, with streams whose pauses must be short
	Backlog time.Duration // mean of what an engine has to read
}

func seen(engines []Engine, usable []int) Seen {
	s := Seen{Engines: len(usable)}
	for _, i := range usable {
		s.Backlog += engines[i].Load.Reading / time.Duration(len(usable))
		if engines[i].Load.Tight > 0 {
			s.Tight++
		}
	}
	return s
}

// Reserved is memory for a part of a prompt at one helper.
type Reserved struct {
	Engine int
	Tokens int
}

// Reading returns how long an idle engine reads a prompt.
func Reading(p *settings.EngineProfile, tokens int) time.Duration {
	if p.ReadRate <= 0 {
		return 0
	}
	linear := float64(tokens) / p.ReadRate * float64(time.Second)
	pairs := float64(tokens) * float64(tokens) / 2 / 1e6 * float64(p.PairsPerM)
	steps := 0.0
	if p.Chunk > 0 {
		steps = float64(tokens) / float64(p.Chunk) * float64(p.Step)
	}
	return time.Duration(linear + pairs + steps)
}

// passOf returns how long a pass takes without any reading.
func passOf(p *settings.EngineProfile, writers int) time.Duration {
	if writers == 0 {
		return p.Step
	}
	return time.Duration(max(1, p.Stride)) * (p.Step + time.Duration(writers)*p.StepPerWriter)
}

// slotWait returns how long a call waits for a slot behind those that are there:
// at the end of every usual answer one becomes free.
func slotWait(p *settings.EngineProfile, streams int) time.Duration {
	waiting := streams - p.Slots + 1
	if waiting <= 0 || p.Slots == 0 {
		return 0
	}
	usual := time.Duration(p.UsualAnswer) * p.Step
	return time.Duration(waiting) * usual / time.Duration(p.Slots)
}

// firstEvent predicts the first event of a call with its reading on an engine:
// what is read before it, its own reading, the pass under way and its own first
// pass.
func firstEvent(p *settings.EngineProfile, e *Engine, reading time.Duration) time.Duration {
	pass := passOf(p, e.Load.Streams)
	before := max(e.Load.Reading, time.Duration(e.Load.Leading)*usualShort(p))
	return slotWait(p, e.Load.Streams) + min(before, passReading(p)) + reading + pass/2 + passOf(p, e.Load.Streams+1)
}
