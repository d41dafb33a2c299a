package entry

import (
	"time"

	"celeryport/request"
	"celeryport/upstream"
)

// idleFirstToken is what the time to the first token would have been on the
// fastest idle engine of the model, by the rates that engines report: prefill of
// what was not cached, and one step of decoding. Reports compare the real time
// with it to show how much a request was slowed down; 0: no engine is known.
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
