package entry

import (
	"context"
	"sync"

	"celeryport/claim"
	"celeryport/control"
	"celeryport/ledger"
	"celeryport/quarantine"
	"celeryport/request"
	"celeryport/upstream"
	"celeryport/verdict"
)

// fakePlane is a control plane whose view and claim results are set by the test.
type fakePlane struct {
	mu        sync.Mutex
	view      control.View
	claims    func(key claim.Key) control.ClaimResult
	settled   []claim.Outcome
	announced []upstream.Announcement
	drained   bool
}

func (p *fakePlane) ReportEvidence(quarantine.Evidence) {}

func (p *fakePlane) View() *control.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	view := p.view
	return &view
}

func (p *fakePlane) Announce(a upstream.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announced = append(p.announced, a)
}

func (p *fakePlane) Claim(_ context.Context, key claim.Key, _ claim.Holder) control.ClaimResult {
	return p.claims(key)
}

func (p *fakePlane) Settle(_ claim.Key, _ claim.Holder, outcome claim.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settled = append(p.settled, outcome)
}

func (p *fakePlane) Drain(context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drained = true
	return nil
}

// countingRecorder is a ledger.Recorder that counts final answers.
type countingRecorder struct {
	mu                                sync.Mutex
	received, served, refused, failed int
}

func (c *countingRecorder) add(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

func (c *countingRecorder) Received(*request.Request)                { c.add(&c.received) }
func (c *countingRecorder) Served(*request.Request, ledger.Served)   { c.add(&c.served) }
func (c *countingRecorder) Refused(*request.Request, verdict.Reason) { c.add(&c.refused) }
func (c *countingRecorder) Failed(*request.Request, verdict.Reason, verdict.Verdict) {
	c.add(&c.failed)
}
