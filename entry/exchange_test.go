package entry

import (
	"testing"
	"time"

	"celeryport/request"
	"celeryport/verdict"
)

func TestVerdictReflectsWhatWasSent(t *testing.T) {
	// The deadline, a shutdown or a disconnect of the caller ends a request while a worker
	// is about to send it or has just sent it. If the answer said "not run" although
	// bytes had been sent, the caller would repeat the request and it would run twice.
	begin := func(e *exchange) { e.beginSend() }
	proved := func(e *exchange) { e.confirmNotRun() }
	tests := map[string]struct {
		steps []func(*exchange)
		want  verdict.Verdict
	}{
		"never sent":                         {nil, verdict.NotRun},
		"sent":                               {[]func(*exchange){begin}, verdict.MayHaveRun},
		"sent and proved not run":            {[]func(*exchange){begin, proved}, verdict.NotRun},
		"sent, unknown, then refused":        {[]func(*exchange){begin, begin, proved}, verdict.MayHaveRun},
		"refused, then sent again":           {[]func(*exchange){begin, proved, begin}, verdict.MayHaveRun},
		"refused twice by different engines": {[]func(*exchange){begin, proved, begin, proved}, verdict.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			e := newExchange(&request.Request{ID: "r", Deadline: now.Add(time.Hour)})
			for _, step := range test.steps {
				step(e)
			}
			if got := e.failure(verdict.ReasonTimeout, "x").Verdict; got != test.want {
				t.Errorf("failure says %v, want %v", got, test.want)
			}
			unknown := verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout, "x")
			if got := e.withOwnVerdict(unknown).Verdict; got != test.want {
				t.Errorf("the dispatcher's verdict became %v, want %v", got, test.want)
			}
			e.end(now, result{err: verdict.Refuse(verdict.ReasonShare, 0, "x")})
			if outcome := e.outcome(); outcome.verdict() != test.want {
				t.Errorf("the answer says %v, want %v", outcome.verdict(), test.want)
			}
			if e.beginSend() {
				t.Error("sent after the final answer")
			}
		})
	}
}
