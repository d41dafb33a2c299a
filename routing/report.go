package routing

import (
	"time"

	"celeryport/upstream"
)

// defaultPrefillRate is assumed for an upstream that has not reported a rate.
const defaultPrefillRate = 10_000

// defaultDecodeRate is assumed for the decode rate of one stream.
const defaultDecodeRate = 30

// iterationTokens is the typical size of one prefill iteration. A request that
// arrives during the prefill of a long prompt waits for the current iteration
// and shares the next ones, whatever its priority.
const iterationTokens = 2048

// report is the last load report of an upstream.
type report struct {
	at         time.Time
	short      float64 // queued prefill except for long prompts in progress
	long       float64 // queued prefill of long prompts in progress
	held       int
	running    int
	rate       float64
	decodeRate float64
}

func newReport(l *upstream.Load, at time.Time) report {
	r := report{
		at:         at,
		short:      float64(l.QueuedPrefill - l.LongPrefill),
		long:       float64(l.LongPrefill),
		held:       l.HeldTokens,
		running:    l.Running + l.Waiting,
		rate:       l.PrefillRate,
		decodeRate: l.DecodeRate,
	}
	if r.rate <= 0 {
		r.rate = defaultPrefillRate
	}
	if r.decodeRate <= 0 {
		r.decodeRate = defaultDecodeRate
	}
	return r
}

// remaining returns the reported prefill that is still queued: the reported
// amount minus the amount prefilled since the report was measured. Without this
// correction the queue of a finished burst would keep requests away, and all
// instances would send to the one upstream that reported last.
func (r *report) remaining(now time.Time) (short, long float64) {
	done := r.rate * now.Sub(r.at).Seconds()
	short = max(0, r.short-done)
	long = max(0, r.long-max(0, done-r.short))
	return short, long
}

// queuedPrefill estimates the prefill queued on the node: the corrected report
// plus the own sends that are newer than the report. This instance's long prompts
// that the report includes and that still wait for their first token count at
// least half, even if the corrected report shows no prefill any more.
func (n *Node) queuedPrefill(now time.Time) (short, long float64) {
	short, long = n.report.remaining(now)
	short += float64(n.unreported.short)
	long = max(long, float64(n.reported.long)/2) + float64(n.unreported.long)
	return short, long
}

// Held estimates the memory in use on the node.
func (n *Node) Held() int {
	return max(n.report.held, n.reported.memory) + n.unreported.memory
}

// Free estimates the free memory on the node.
func (n *Node) Free() int { return n.MemoryTokens - n.Held() }

// Rate returns the measured prefill rate in tokens per second.
func (n *Node) Rate() float64 { return n.report.rate }

// DecodeRate returns the measured decode rate of one stream in tokens per
// second.
func (n *Node) DecodeRate() float64 { return n.report.decodeRate }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
