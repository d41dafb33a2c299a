package entry

import (
	"time"

	"celeryport/request"
	"celeryport/upstream"
)

// idleFirstToken estimates the time to the first token on the fastest engine of the
// model if that engine were idle, from the rates that engines report: prefill of the
// tokens that were not cached plus one decoding step. Reports compare the measured
// time with it to show how much a request was slowed down. It returns 0 if no engine
// has reported its rates.
func idleFirstToken(view *upstream.Snapshot, r *request.Request, cachedTokens int) time.Duration {
	if view == nil || r.Kind != request.Prompt {
		return 0
	}
	var best time.Duration
	for _, i := range view.Serving(r.Target) {
		load := &view.Upstreams[i].Announcement.Load
		if load.PrefillRate <= 0 || load.DecodeRate <= 0 {
			continue
		}
		prefill := float64(max(0, r.PromptTokens-cachedTokens)) / load.PrefillRate
		idle := time.Duration((prefill + 1/load.DecodeRate) * float64(time.Second))
		if best == 0 || idle < best {
			best = idle
		}
	}
	return best
}
