package control

import (
	"testing"

	"celeryport/control/state"
	"celeryport/verdict"
)

// A leader loses its role while proposals are pending. An operator who gets the verdict
// "not run" for a change that a later leader accepts would send it again.
func TestOnlyAReplacedProposalIsReportedAsNotRun(t *testing.T) {
	tests := []struct {
		name    string
		end     func(p *proposals)
		verdict verdict.Verdict
	}{
		{"another entry was committed in its place", func(p *proposals) { p.committed(7, 3, state.Outcome{}) }, verdict.NotRun},
		{"a snapshot covers it", func(p *proposals) { p.completeCovered(7) }, verdict.MayHaveRun},
		{"this leader was elected again and overwrote its entry", func(p *proposals) { p.add(7, 4, make(chan proposalResult, 1)) }, verdict.MayHaveRun},
		{"the disk failed", func(p *proposals) {
			p.abandon(verdict.New(verdict.MayHaveRun, verdict.ReasonStorageFailed, "disk"))
		}, verdict.MayHaveRun},
	}
	for _, test := range tests {
		var p proposals
		done := make(chan proposalResult, 1)
		p.add(7, 2, done)
		p.committed(6, 2, state.Outcome{})
		p.completeCovered(6)
		test.end(&p)
		select {
		case result := <-done:
			if got := verdict.From(result.err); got == nil || got.Verdict != test.verdict {
				t.Errorf("%s: ended with %v, want %v", test.name, result.err, test.verdict)
			}
		default:
			t.Errorf("%s: the proposer still waits", test.name)
		}
	}
	var p proposals
	done := make(chan proposalResult, 1)
	p.add(7, 2, done)
	p.committed(7, 2, state.Outcome{Revision: 7})
	if result := <-done; result.err != nil || result.outcome.Revision != 7 {
		t.Errorf("accepted: %+v", result)
	}
}
