package standin

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/standin/answer"
	"celeryport/upstream"
)

// pathCounts is the path for the execution counts: GET -> answer.Counts.
const pathCounts = "/counts"

// Service is a stand-in for a plain service. It counts the calls it executes, so
// that a call that was executed twice is detected.
type Service struct {
	*host
	options ServiceOptions
	counter *counter
	running atomic.Int64
}

// NewService returns a service, which starts with Serve.
func NewService(o ServiceOptions) *Service {
	o.Options = o.withDefaults(time.Now())
	s := &Service{options: o, counter: newCounter(o.Dedupe)}
	s.host = newHost(o.Options, s.handle, s.describe, nil)
	return s
}

// Serve accepts calls on the listener until Shutdown or Close.
func (s *Service) Serve(ln net.Listener) error { return s.serve(ln) }

// Shutdown announces that the service is leaving, refuses new calls, waits for the
// running calls and stops. If ctx ends earlier, the remaining calls are aborted.
func (s *Service) Shutdown(ctx context.Context) error {
	return s.shutdown(ctx, func() bool { return s.running.Load() > 0 })
}

// Close stops the service immediately, like a killed process.
func (s *Service) Close() { s.close() }

// Counts returns the numbers of executions.
func (s *Service) Counts() *answer.Counts { return s.counter.counts() }

func (s *Service) describe(time.Time) upstream.Announcement {
	return upstream.Announcement{
		Kind:    upstream.Service,
		Targets: s.options.Targets,
		Version: s.options.Version,
		Load:    upstream.Load{Running: int(s.running.Load())},
	}
}

// handle executes a call to any path except pathCounts, which it answers with the counts.
func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == pathCounts {
		respondJSON(ctx, s.Counts())
		return
	}
	c, ok := parseCall(&ctx.Request.Header)
	if !ok {
		refuse(ctx, fasthttp.StatusBadRequest, "malformed headers")
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	if reason := s.refusalReason(&c); reason != "" {
		s.refuse(ctx, &c, reason)
		return
	}
	fault := s.faults.take()
	if s.delayed(fault) && s.ctx.Err() != nil || fault.Fault == FaultRefuse {
		s.refuse(ctx, &c, "told to refuse")
		return
	}
	s.execute(ctx, &c, fault.Fault)
}

func (s *Service) refusalReason(c *call) string {
	switch {
	case s.leaving.Load():
		return "leaving"
	case c.limited && c.remaining <= 0:
		return "no time left"
	}
	return ""
}

func (s *Service) refuse(ctx *fasthttp.RequestCtx, c *call, reason string) {
	s.writeJournal(c, EndedRefused, reason)
	refuse(ctx, fasthttp.StatusServiceUnavailable, reason)
}

// execute counts the call and answers after the latency.
func (s *Service) execute(ctx *fasthttp.RequestCtx, c *call, fault Fault) {
	a, fresh := s.counter.execute(&answer.Call{
		Service: s.target(),
		Request: c.request,
		Key:     c.key,
		Digest:  answer.CallDigest(ctx.PostBody()),
	})
	if fresh {
		s.writeJournal(c, Begun, "")
		s.writeJournal(c, EndedWhole, "")
	}
	if !s.pause(s.options.Latency) {
		_ = ctx.Conn().Close()
		return
	}
	s.answer(ctx, c, a, fault)
}

func (s *Service) pause(d time.Duration) bool {
	if d <= 0 {
		return s.ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

func (s *Service) target() string {
	if len(s.options.Targets) == 0 {
		return ""
	}
	return s.options.Targets[0]
}

func (s *Service) writeJournal(c *call, ended Ending, reason string) {
	s.journal.write(&Entry{
		At: time.Now(), Upstream: s.options.Name, Request: c.request, Attempt: c.attempt,
		Key: c.key, Target: s.target(), Ended: ended, Reason: reason,
	})
}
