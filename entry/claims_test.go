package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"celeryport/claim"
	"celeryport/control"
)

func TestClaims(t *testing.T) {
	// A caller resends a call that may not be repeated, perhaps to another
	// instance, because the first answer was lost. If it ran again, a bolt of
	// cloth would be cut twice.
	warm(t)
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
			inBubble(t, map[string]script{"s1": says("held")}, func(t *testing.T, b *bench) {
				b.plane.claims = func(claim.Key) control.ClaimResult { return test.claim }
				got := b.do(call{
					path: "/v1/services/cassa/hold", body: "x",
					headers: map[string]string{headerClass: "hold", headerKey: "k1"},
				})
				if got.status != test.status || got.verdict != test.verdict {
					t.Errorf("got %d %s: %s", got.status, got.verdict, got.body)
				}
				if calls := b.totalCalls(); calls != test.calls {
					t.Errorf("the service saw %d calls, want %d", calls, test.calls)
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

func TestClaimIsReleasedOnlyByProof(t *testing.T) {
	// The service could not be reached, so the caller may try again under the
	// same key; or it read the call and closed, so the key must stay taken.
	warm(t)
	for name, test := range map[string]struct {
		script script
		want   []claim.OutcomeKind
	}{
		"refused": {refuses, []claim.OutcomeKind{claim.Released}},
		"unknown": {breaksService, nil},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"s1": test.script}, func(t *testing.T, b *bench) {
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

func TestRefusedResumeProvesNothing(t *testing.T) {
	// An engine begins a prompt that may not be repeated and dies; the attempt to
	// pick the stream up is refused. If the refusal counted for the whole send, a
	// second engine would run the prompt again, or the caller be told that it was
	// not run.
	warm(t)
	for name, begun := range map[string]script{
		"died before the first token": breaks(),
		"died in the middle":          breaks("one "),
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"e1": begun, "e2": begun}, func(t *testing.T, b *bench) {
				c := completion("p", false)
				c.headers = map[string]string{headerNoRepeat: "true", headerKey: "k1"}
				got := b.do(c)
				started := 0
				for _, p := range b.peers {
					if calls, _ := p.counted(); calls > 0 {
						started++
					}
				}
				if started != 1 || got.verdict != "may-have-run" {
					t.Errorf("%d engines began it, the caller was told %s", started, got.verdict)
				}
				synctest.Wait()
				if len(b.plane.settled) != 0 {
					t.Errorf("the claim was settled: %v", b.plane.settled)
				}
			})
		})
	}
}

func TestClaimThatHangsPastTheDeadline(t *testing.T) {
	// The voters hang while they are asked for the right to send, and say yes
	// after the caller was told that its call was not run. Sending it then would
	// run a call that the caller has already repeated elsewhere.
	warm(t)
	inBubble(t, map[string]script{"s1": says("held")}, func(t *testing.T, b *bench) {
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
			t.Errorf("the service saw %d calls after the final answer", calls)
		}
		if len(b.plane.settled) != 1 || b.plane.settled[0].Kind != claim.Released {
			t.Errorf("settled %v, want one release", b.plane.settled)
		}
		b.checkCounts()
	})
}
