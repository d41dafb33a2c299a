package bench

import (
	"sort"
	"time"

	"celeryport/verdict"
)

// Buckets are the columns of prompt lengths.
var Buckets = []string{"1-4k", "4-16k", "16-100k", "100k-400k", "over"}

// bucketOf returns the column of a prompt.
func bucketOf(tokens int) int {
	for i, limit := range []int{4000, 16_000, 100_000, engineMem} {
		if tokens <= limit {
			return i
		}
	}
	return len(Buckets) - 1
}

// Latency is the distribution of a time to first token, in seconds.
type Latency struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_seconds"`
	P95   float64 `json:"p95_seconds"`
	P99   float64 `json:"p99_seconds"`
}

// Result is what one run gave.
type Result struct {
	FirstToken      []Latency          `json:"first_token"` // by bucket
	AloneFirstToken []Latency          `json:"alone_first_token"`
	Short           Latency            `json:"short"` // all short requests
	Alone           Latency            `json:"alone"` // the same ones alone
	Slowdown        float64            `json:"slowdown"`
	BucketSlowdown  []float64          `json:"bucket_slowdown"` // of the short buckets
	Received        int                `json:"received"`
	Served          int                `json:"served"`
	Late            int                `json:"late"`    // finished after the deadline
	Refused         int                `json:"refused"` // not run
	RefusedShort    int                `json:"refused_short"`
	Failed          int                `json:"failed"`      // may have run, or lost with an instance
	LongTokens      int                `json:"long_tokens"` // prompt tokens of long requests served in time
	QueueJump       int                `json:"queue_jump"`
	RefusalDelay    float64            `json:"refusal_delay_seconds"` // longest time from hopeless to refused
	Shares          map[string]float64 `json:"shares"`                // served tokens over the weighted fair share
	Reasons         map[string]int     `json:"reasons"`
}

// result evaluates the requests that arrived after the warm-up.
func (r *record) result(site *Site) *Result {
	out := &Result{Shares: map[string]float64{}, Reasons: map[string]int{}}
	times := make([][]float64, len(Buckets))
	var short []float64
	for _, l := range r.order {
		if l.arrived < warmUp {
			continue
		}
		out.count(l)
		if l.first > 0 && l.finished > 0 {
			first := (l.first - l.arrived).Seconds()
			b := bucketOf(l.request.PromptTokens)
			times[b] = append(times[b], first)
			if !l.request.Long {
				short = append(short, first)
			}
		}
	}
	for _, t := range times {
		out.FirstToken = append(out.FirstToken, latency(t))
	}
	out.Short = latency(short)
	out.QueueJump = r.queueJump()
	r.shares(site, out)
	return out
}

func (o *Result) count(l *life) {
	o.Received++
	switch {
	case l.finished > 0:
		o.Served++
		late := l.request.Deadline.Before(epoch.Add(l.finished))
		if late {
			o.Late++
		}
		if l.request.Long && !late {
			o.LongTokens += l.request.PromptTokens
		}
	case l.err != nil && l.err.Verdict == verdict.NotRun:
		o.Refused++
		o.Reasons[string(l.err.Reason)]++
		if !l.request.Long {
			o.RefusedShort++
		}
		o.RefusalDelay = max(o.RefusalDelay, l.refusalDelay().Seconds())
	default:
		o.Failed++
	}
}

// refusalDelay is how long after it could not be answered in time any more the
// request was refused.
func (l *life) refusalDelay() time.Duration {
	c := engineConfig()
	rate := c.PrefillRate
	if parts := (l.request.Tokens() + engineMem - 1) / engineMem; parts > 1 {
		rate *= spanEfficiency * float64(parts+1)
	}
	service := float64(l.request.PromptTokens)/rate + float64(l.request.OutputTokens)*c.DecodeStep.Seconds()
	hopeless := l.request.Deadline.Sub(epoch) - time.Duration(service*float64(time.Second))
	return max(0, l.refused-max(hopeless, l.arrived))
}

func latency(seconds []float64) Latency {
	if len(seconds) == 0 {
		return Latency{}
	}
	sort.Float64s(seconds)
	at := func(q float64) float64 { return seconds[min(len(seconds)-1, int(q*float64(len(seconds))))] }
	return Latency{Count: len(seconds), P50: at(0.50), P95: at(0.95), P99: at(0.99)}
}

// auditTokens is the length from which a prompt counts as an audit.
const auditTokens = 100_000

// queueJump is the most audits that arrived later than an audit and were begun
// before it.
func (r *record) queueJump() int {
	var audits []*life
	for _, l := range r.order {
		if l.request.PromptTokens > auditTokens && l.first > 0 {
			audits = append(audits, l)
		}
	}
	longest := 0
	for i, l := range audits {
		jumped := 0
		for _, later := range audits[i+1:] {
			if begun(later) < begun(l) {
				jumped++
			}
		}
		longest = max(longest, jumped)
	}
	return longest
}

// begun estimates when the prefill of a request began.
func begun(l *life) time.Duration {
	c := engineConfig()
	return l.first - time.Duration(float64(l.request.PromptTokens)/c.PrefillRate*float64(time.Second))
}

// shares divides what each organisation was served by its max-min fair share of
// what all were served.
func (r *record) shares(site *Site, out *Result) {
	served := map[string]float64{}
	offered := map[string]float64{}
	total := 0.0
	for _, l := range r.order {
		if l.arrived < warmUp {
			continue
		}
		tokens := float64(l.request.PromptTokens)
		offered[l.request.Organisation] += tokens
		if l.finished > 0 {
			served[l.request.Organisation] += tokens
			total += tokens
		}
	}
	for name, fair := range fairShares(site, offered, total) {
		if fair > 0 {
			out.Shares[name] = served[name] / fair
		}
	}
}
