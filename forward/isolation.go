package forward

import (
	"context"
	"slices"
	"time"

	"celeryport/clock"
	"celeryport/quarantine"
)

// maxHold bounds how long a call is held back because of suspected parts in all.
const maxHold = quarantine.IsolationWait + decisionWait

// isolation is what an exchange keeps about sends with suspected parts of prompts.
type isolation struct {
	ticket    uint64    // of the current send; 0 if it holds back no other
	heldUntil time.Time // latest time until which the call is held back; zero if it was not
}

// beginIsolated reports whether the next send may begin although parts of its prompt may be suspected.
func (x *exchange) beginIsolated(now time.Time) bool {
	if !x.isolation.heldUntil.IsZero() && !now.Before(x.isolation.heldUntil) {
		return true
	}
	ticket, admitted := x.server.fleet.suspects.beginIsolated(now, x.call.PromptParts)
	x.isolation.ticket = ticket
	return admitted
}

// endIsolated records how a send ended.
func (x *exchange) endIsolated(result *outcome) {
	if x.isolation.ticket != 0 {
		x.server.fleet.suspects.endIsolated(time.Now(), x.isolation.ticket, result.ended != nil)
		x.isolation.ticket = 0
	}
}

// awaitIsolated waits until no other send holds the call back, or until it was held back for long enough.
func (x *exchange) awaitIsolated(ctx context.Context) {
	if x.isolation.heldUntil.IsZero() {
		x.isolation.heldUntil = time.Now().Add(maxHold)
	}
	for time.Now().Before(x.isolation.heldUntil) && x.server.fleet.suspects.holds(time.Now(), x.call.PromptParts) {
		if !clock.Pause(ctx, decisionPollInterval) {
			return
		}
	}
}

// suspected returns those of some parts that ends of upstreams make suspect without blaming them yet.
// Requests with all parts of a blamed group are rejected, or probes, of which one runs at a time anyway.
// The lock must be held.
func (s *suspects) suspected(now time.Time, parts []quarantine.Part) []quarantine.Part {
	list := s.view().Quarantine
	if len(parts) == 0 || list.ContainsParts(parts) {
		return nil
	}
	suspected := list.SuspectedAmong(parts)
	for _, p := range parts {
		if s.local.Parts.Suspects(p) && !slices.Contains(suspected, p) {
			suspected = append(suspected, p)
		}
	}
	_, suspected = s.cleared.Split(now, suspected)
	return suspected
}

// beginIsolated reports whether a send with some parts may begin, and the ticket by which it ends.
func (s *suspects) beginIsolated(now time.Time, parts []quarantine.Part) (ticket uint64, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolation.Admit(now, s.suspected(now, parts))
}

// holds reports whether another send holds back one with some parts.
func (s *suspects) holds(now time.Time, parts []quarantine.Part) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolation.Holds(now, s.suspected(now, parts))
}

// endIsolated records that the send with a ticket has ended, and whether its connection broke. Others with
// its parts wait for the decision by the evidence; without control that is this instance's own.
func (s *suspects) endIsolated(now time.Time, ticket uint64, broken bool) {
	var hold time.Duration
	switch {
	case broken && s.view().HasQuorum:
		hold = decisionWait
	case broken:
		hold = endCheckWait
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolation.End(now, ticket, hold)
}
