package entry

import (
	"celeryport/dispatch"
	"celeryport/request"
	"celeryport/upstream/client"
	"celeryport/verdict"
)

// sender executes sends to upstreams.
type sender struct {
	options   *Options
	driver    *driver
	canceller *canceller
}

func newSender(options *Options) *sender {
	return &sender{options: options, canceller: newCanceller(options)}
}

// send runs on a pool worker until the send has ended and returns its outcome.
func (s *sender) send(e *exchange, action *dispatch.Action) dispatch.Outcome {
	if refused := s.claim(e); refused != nil {
		s.driver.withdraw(e, *refused)
		return dispatch.Outcome{Err: verdict.From(refused.err)}
	}
	if !e.beginSend() {
		return dispatch.Outcome{Err: verdict.Refuse(verdict.ReasonTimeout, 0, "ended before it was sent")}
	}
	outcome := s.run(e, action)
	if outcome.Err != nil && outcome.Err.Verdict == verdict.NotRun {
		outcome.Contact = client.ContactOf(outcome.Err)
		if e.confirmNotRun() && e.holdsClaim() {
			s.releaseClaim(e)
		}
	}
	return outcome
}

func (s *sender) run(e *exchange, action *dispatch.Action) dispatch.Outcome {
	if e.request.Kind == request.ServiceCall {
		return s.callService(e, action)
	}
	if len(action.Placement.Parts) > 1 {
		return s.generateSpan(e, action)
	}
	return s.generate(e, action, nil)
}

// cancel executes a Cancel action. Calls to plain services can't be cancelled.
func (s *sender) cancel(action dispatch.Action) {
	if action.Request.Kind == request.ServiceCall {
		return
	}
	for _, part := range action.Placement.Parts {
		s.canceller.add(part, action.Request.ID, action.Attempt)
	}
}

// leadOf returns the part that computes the answer.
func leadOf(p dispatch.Placement) dispatch.Part {
	for _, part := range p.Parts {
		if part.Lead {
			return part
		}
	}
	return p.Parts[0]
}
