package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/claim"
	"celeryport/control"
)

func TestClaimedKeyIsNotRunTwice(t *testing.T) {
	// A caller resends a call that may not be repeated, perhaps to another instance,
	// because the first answer was lost. If it ran again, an order would be placed twice.
	warmUp(t)
	tests := map[string]struct {
		claim   control.ClaimResult
		status  int
		verdict string
		calls   int
		settled int
	}{
		"won":             {control.ClaimResult{State: control.Won}, 200, "ran", 1, 1},
		"no majority":     {control.ClaimResult{State: control.NoMajority}, 503, "not-run", 0, 0},
		"split":           {control.ClaimResult{State: control.Split}, 503, "not-run", 0, 0},
		"expired":         {control.ClaimResult{State: control.Expired}, 409, "may-have-run", 0, 0},
		"held by another": {control.ClaimResult{State: control.Lost}, 409, "may-have-run", 0, 0},
		"done with answer": {
			control.ClaimResult{State: control.Lost, Outcome: claim.Outcome{Kind: claim.Done, Status: 200, Answer: []byte("held")}},
			200, "ran", 0, 0,
		},
		"done without answer": {
			control.ClaimResult{State: control.Lost, Outcome: claim.Outcome{Kind: claim.Done, Status: 200}}, 409, "ran", 0, 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"s1": serviceAnswers("held")}, func(t *testing.T, b *testBed) {
				b.plane.claims = func(claim.Key) control.ClaimResult { return test.claim }
				got := b.do(call{
					path: "/v1/services/cassa/hold", body: "x",
					headers: map[string]string{headerClass: "hold", headerKey: "k1"},
				})
				if got.status != test.status || got.verdict != test.verdict {
					t.Errorf("got %d %s: %s", got.status, got.verdict, got.body)
				}
				if calls := b.totalCalls(); calls != test.calls {
					t.Errorf("the service got %d calls, want %d", calls, test.calls)
				}
				synctest.Wait()
				if len(b.plane.settled) != test.settled {
					t.Errorf("settled %v", b.plane.settled)
				}
				b.checkCounts()
			})
		})
	}
}

func TestClaimIsReleasedOnlyAfterProofOfNotRun(t *testing.T) {
	// If the service could not be reached, the caller may retry with the same key. If it
	// read the call and closed the connection, the key must stay claimed.
	warmUp(t)
	for name, test := range map[string]struct {
		script script
		want   []claim.OutcomeKind
	}{
		"refused":   {refuses, []claim.OutcomeKind{claim.Released}},
		"unknown":   {closesAfterReading, nil},
		"a part":    {writes("HTTP/1.1 200 OK\r\n\r\nhel"), nil}, // stored, a duplicate would get it
		"no status": {writes("HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nhello"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"s1": test.script}, func(t *testing.T, b *testBed) {
				b.do(call{
					path: "/v1/services/cassa/hold", body: "x",
					headers: map[string]string{headerClass: "hold", headerKey: "k1"},
				})
				synctest.Wait()
				if len(b.plane.settled) != len(test.want) {
					t.Fatalf("settled %v, want %v", b.plane.settled, test.want)
				}
				for i, kind := range test.want {
					if b.plane.settled[i].Kind != kind {
						t.Errorf("settled %v, want %v", b.plane.settled[i].Kind, kind)
					}
				}
			})
		})
	}
}

func TestRefusedResumeIsNoProofOfNotRun(t *testing.T) {
	// An engine begins a prompt that may not be repeated and dies; resuming the stream is
	// refused. If that refusal counted for the whole send, a second engine would run the
	// prompt again, or the caller would be told that it did not run.
	warmUp(t)
	for name, begun := range map[string]script{
		"died before the first token": breaksAfter(),
		"died in the middle":          breaksAfter("one "),
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"e1": begun, "e2": begun}, func(t *testing.T, b *testBed) {
				c := completion("p", false)
				c.headers = map[string]string{headerNoRepeat: "true", headerKey: "k1"}
				got := b.do(c)
				started := 0
				for _, p := range b.fakeUpstreams {
					if calls, _ := p.counts(); calls > 0 {
						started++
					}
				}
				if started != 1 || got.verdict != "may-have-run" {
					t.Errorf("%d engines started the prompt, verdict %s", started, got.verdict)
				}
				synctest.Wait()
				if len(b.plane.settled) != 0 {
					t.Errorf("the claim was settled: %v", b.plane.settled)
				}
			})
		})
	}
}

func TestClaimWonAfterDeadlineIsNotSent(t *testing.T) {
	// The voters hang on a claim and grant it only after the caller was told that its
	// call did not run. Sending the call then would run it although the caller may
	// already have repeated it elsewhere.
	warmUp(t)
	inBubble(t, map[string]script{"s1": serviceAnswers("held")}, func(t *testing.T, b *testBed) {
		release := make(chan struct{})
		b.plane.claims = func(claim.Key) control.ClaimResult {
			<-release
			return control.ClaimResult{State: control.Won}
		}
		got := b.do(call{
			path: "/v1/services/cassa/hold", body: "x",
			headers: map[string]string{headerClass: "hold", headerKey: "k1", headerDeadlineMs: "500"},
		})
		if got.verdict != "not-run" || got.took > 500*time.Millisecond+viewInterval {
			t.Errorf("got %s after %v: %s", got.verdict, got.took, got.body)
		}
		close(release)
		synctest.Wait()
		if calls := b.totalCalls(); calls != 0 {
			t.Errorf("the service got %d calls after the final answer", calls)
		}
		if len(b.plane.settled) != 1 || b.plane.settled[0].Kind != claim.Released {
			t.Errorf("settled %v, want one release", b.plane.settled)
		}
		b.checkCounts()
	})
}

// Guards against a key that stays claimed for its lifetime although its call was not sent, because that became known
// only when its deadline had passed or its caller had left.
func TestClaimOfACallEndedWhileItConnectsIsReleased(t *testing.T) {
	warmUp(t)
	inBubble(t, map[string]script{"s1": serviceAnswers("held")}, func(t *testing.T, b *testBed) {
		b.connecting = func(ctx context.Context, _ string) error {
			<-ctx.Done()
			return ctx.Err()
		}
		got := b.do(call{
			path: "/v1/services/cassa/hold", body: "x",
			headers: map[string]string{headerClass: "hold", headerKey: "k1", headerDeadlineMs: "200"},
		})
		synctest.Wait()
		if len(b.plane.settled) != 1 || b.plane.settled[0].Kind != claim.Released {
			t.Errorf("answered %s (%s), settled %v", got.verdict, got.body, b.plane.settled)
		}
	})
}
