package routing

import (
	"time"

	"celeryport/upstream"
)

// defaultPrefillRate is assumed of an upstream that reported no rate yet.
const defaultPrefillRate = 10_000

// defaultDecodeRate is the same for the tokens of one stream.
const defaultDecodeRate = 30

// iterationTokens is the usual size of one prefill iteration. A request that
// arrives while a long prompt is prefilled waits for the iteration under way
// and shares the next ones, whatever its priority is.
const iterationTokens = 2048

// report is the last load report of an upstream.
type report struct {
	at         time.Time
	short      float64 // queued prefill that isn't of long prompts under way
	long       float64
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

// left returns the reported prefill that is still there: what was reported less
// what the upstream prefills in the age of the report. Without the correction a
// burst that ended long ago keeps requests away, and all instances run to the
// one upstream that reported last.
func (r *report) left(now time.Time) (short, long float64) {
	done := r.rate * now.Sub(r.at).Seconds()
	short = max(0, r.short-done)
	long = max(0, r.long-max(0, done-r.short))
	return short, long
}

// ahead estimates the prefill on the node: the corrected report and the own
// sends that the report can't know. What this instance itself still waits for
// is there for sure, whatever the report says.
func (n *Node) ahead(now time.Time) (short, long float64) {
	short, long = n.report.left(now)
	short += float64(n.newer.short)
	long = max(long, float64(n.known.long)/2) + float64(n.newer.long)
	return short, long
}

// Held estimates the memory in use on the node.
func (n *Node) Held() int {
	return max(n.report.held, n.known.memory) + n.newer.memory
}

// Free estimates the memory that is left on the node.
func (n *Node) Free() int { return n.MemoryTokens - n.Held() }

// Rate is the measured prefill rate, tokens a second.
func (n *Node) Rate() float64 { return n.report.rate }

// DecodeRate is the measured rate of one stream, tokens a second.
func (n *Node) DecodeRate() float64 { return n.report.decodeRate }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
