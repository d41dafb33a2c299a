package entry

import (
	"time"

	"celeryport/ledger"
	"celeryport/request"
	"celeryport/upstream"
	"celeryport/verdict"
)

// record passes the final answer of a request to the recorder.
func record(recorder ledger.Recorder, r *request.Request, outcome result, view *upstream.Snapshot) {
	switch {
	case outcome.err == nil:
		recorder.Served(r, served(r, outcome, view))
	case outcome.err.Verdict == verdict.NotRun:
		recorder.Refused(r, outcome.err.Reason)
	default:
		recorder.Failed(r, outcome.err.Reason, outcome.err.Verdict)
	}
}

func served(r *request.Request, outcome result, view *upstream.Snapshot) ledger.Served {
	s := ledger.Served{
		PromptTokens: r.PromptTokens,
		AnswerTokens: outcome.answerTokens,
		CachedTokens: outcome.cachedTokens,
		Total:        outcome.endedAt.Sub(r.Arrival),
		InTime:       !outcome.endedAt.After(r.Deadline),

		IdleFirstToken: idleFirstToken(view, r, outcome.cachedTokens),
	}
	if !outcome.firstToken.IsZero() {
		s.FirstToken = outcome.firstToken.Sub(r.Arrival)
	}
	if gaps := outcome.answerTokens - 1; gaps > 0 && s.FirstToken > 0 {
		s.TokenGap = (s.Total - s.FirstToken) / time.Duration(gaps)
	}
	return s
}
