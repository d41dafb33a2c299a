package bench

import (
	"sort"
	"time"

	"celeryport/verdict"
)

// Buckets names the prompt length ranges, in tokens, that are columns of the
// table.
var Buckets = []string{"1-4k", "4-16k", "16-100k", "100k-400k", "over"}

// bucketOf returns the index in Buckets of a prompt length.
func bucketOf(tokens int) int {
	for i, limit := range []int{4000, 16_000, 100_000, engineMemory} {
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

// Result holds the measurements of one run.
type Result struct {
	FirstToken      []Latency          `json:"first_token"` // by bucket
	AloneFirstToken []Latency          `json:"alone_first_token"`
	Short           Latency            `json:"short"` // all short requests
	Alone           Latency            `json:"alone"` // the same requests run without the long ones
	Slowdown        float64            `json:"slowdown"`
	BucketSlowdown  []float64          `json:"bucket_slowdown"` // of the buckets of short requests
	Received        int                `json:"received"`
	Served          int                `json:"served"`
	Late            int                `json:"late"`    // finished after the deadline
	Refused         int                `json:"refused"` // not run
	RefusedShort    int                `json:"refused_short"`
	Failed          int                `json:"failed"`      // may have run, or lost with an instance
	LongTokens      int                `json:"long_tokens"` // prompt tokens of long requests served in time
	QueueJump       int                `json:"queue_jump"`
	RefusalDelay    float64            `json:"refusal_delay_seconds"` // longest time from when the deadline became unreachable to the refusal
	Shares          map[string]float64 `json:"shares"`                // served tokens divided by the weighted fair share
	Reasons         map[string]int     `json:"reasons"`
}

// result evaluates the requests that arrived after the warm-up period.
func (r *recorder) result(site *Site) *Result {
	out := &Result{Shares: map[string]float64{}, Reasons: map[string]int{}}
	times := make([][]float64, len(Buckets))
	var short []float64
	for _, rec := range r.order {
		if rec.arrived < warmUp {
			continue
		}
		out.count(rec)
		if rec.first > 0 && rec.finished > 0 {
			first := (rec.first - rec.arrived).Seconds()
			b := bucketOf(rec.request.PromptTokens)
			times[b] = append(times[b], first)
			if !rec.request.Long {
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

func (o *Result) count(rec *requestRecord) {
	o.Received++
	switch {
	case rec.finished > 0:
		o.Served++
		late := rec.request.Deadline.Before(epoch.Add(rec.finished))
		if late {
			o.Late++
		}
		if rec.request.Long && !late {
			o.LongTokens += rec.request.PromptTokens
		}
	case rec.err != nil && rec.err.Verdict == verdict.NotRun:
		o.Refused++
		o.Reasons[string(rec.err.Reason)]++
		if !rec.request.Long {
			o.RefusedShort++
		}
		o.RefusalDelay = max(o.RefusalDelay, rec.refusalDelay().Seconds())
	default:
		o.Failed++
	}
}

// refusalDelay returns how long after its deadline became unreachable the request
// was refused. The deadline is unreachable once even an idle engine, or a span if
// the request needs one, could not finish in time.
func (rec *requestRecord) refusalDelay() time.Duration {
	c := engineConfig()
	rate := c.PrefillRate
	if parts := (rec.request.Tokens() + engineMemory - 1) / engineMemory; parts > 1 {
		rate *= spanEfficiency * float64(parts+1)
	}
	service := float64(rec.request.PromptTokens)/rate + float64(rec.request.OutputTokens)*c.DecodeStep.Seconds()
	hopeless := rec.request.Deadline.Sub(epoch) - time.Duration(service*float64(time.Second))
	return max(0, rec.refused-max(hopeless, rec.arrived))
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

// queueJump returns the largest number of audits that overtook a single audit:
// they arrived after it but started before it.
func (r *recorder) queueJump() int {
	var audits []*requestRecord
	for _, rec := range r.order {
		if rec.request.PromptTokens > auditTokens && rec.first > 0 {
			audits = append(audits, rec)
		}
	}
	longest := 0
	for i, rec := range audits {
		jumped := 0
		for _, later := range audits[i+1:] {
			if prefillStart(later) < prefillStart(rec) {
				jumped++
			}
		}
		longest = max(longest, jumped)
	}
	return longest
}

// prefillStart estimates when the prefill of a request started.
func prefillStart(rec *requestRecord) time.Duration {
	c := engineConfig()
	return rec.first - time.Duration(float64(rec.request.PromptTokens)/c.PrefillRate*float64(time.Second))
}

// shares divides the prompt tokens served to each organisation by its weighted
// max-min fair share of all served prompt tokens.
func (r *recorder) shares(site *Site, out *Result) {
	served := map[string]float64{}
	offered := map[string]float64{}
	total := 0.0
	for _, rec := range r.order {
		if rec.arrived < warmUp {
			continue
		}
		tokens := float64(rec.request.PromptTokens)
		offered[rec.request.Organisation] += tokens
		if rec.finished > 0 {
			served[rec.request.Organisation] += tokens
			total += tokens
		}
	}
	for name, fair := range fairShares(site, offered, total) {
		if fair > 0 {
			out.Shares[name] = served[name] / fair
		}
	}
}
