package forward

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/endcheck"
	"celeryport/failover"
	"celeryport/httpwire"
	"celeryport/paths"
	"celeryport/settings"
	"celeryport/upstream"
	"celeryport/verdict"
)

// endCheck is one question to an upstream which incarnation it is. It counts for all answers that ended
// before it was asked.
type endCheck struct {
	service  *settings.ForwardedService // as it was when a call was placed: the current settings may not have it any more
	patience time.Duration              // for which it waits for the reply
	done     chan struct{}
	observed endcheck.Observation // set when done is closed
}

// observeEnd asks an upstream which incarnation it is, after the end of an answer. Answers that end while an
// earlier question is under way share the next one.
func (f *fleet) observeEnd(ctx context.Context, n *node, service *settings.ForwardedService) endcheck.Observation {
	f.mu.Lock()
	c := n.nextEndCheck
	if c == nil {
		c = &endCheck{service: service, patience: replyPatience(ctx, service), done: make(chan struct{})}
		n.nextEndCheck = c
		go f.runEndCheck(n, c, n.endCheck)
	}
	f.mu.Unlock()
	select {
	case <-c.done:
		return c.observed
	case <-ctx.Done():
		return endcheck.Expired
	}
}

// replyPatience returns for how long a check waits for its reply. An engine reports at once, but the health check of a
// plain service waits for a place like a call, so that half of the time that the call has left is spent on it.
func replyPatience(ctx context.Context, service *settings.ForwardedService) time.Duration {
	deadline, bounded := ctx.Deadline()
	if service.Engine != nil || !bounded {
		return failover.MaxSoundSilence
	}
	return max(failover.MaxSoundSilence, time.Until(deadline)/2)
}

// runEndCheck asks once the question before has ended.
func (f *fleet) runEndCheck(n *node, c, before *endCheck) {
	defer close(c.done)
	if before != nil {
		<-before.done
	}
	if !f.mayExit(n) {
		clock.Pause(context.Background(), endCheckPause) // so that answers which end together share the check
	}
	f.mu.Lock()
	n.endCheck, n.nextEndCheck = c, nil
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), c.patience)
	defer cancel()
	c.observed = f.askIncarnation(ctx, n, c.service)
}

// mayExit reports whether a node may exit at any moment, since it leaves.
func (f *fleet) mayExit(n *node) bool {
	announced := announcedLeaving(f.options.Plane.View().Upstreams, n.incarnationID)
	f.mu.Lock()
	defer f.mu.Unlock()
	return announced || !n.leavingAt.IsZero()
}

// askIncarnation asks an upstream which incarnation it is, on a new connection. If none can be opened, because
// this process has no socket left or because an upstream that leaves has closed its listener, or if it is reset
// because the upstream has as many as it accepts, it asks on an idle one.
func (f *fleet) askIncarnation(ctx context.Context, n *node, service *settings.ForwardedService) endcheck.Observation {
	observed, err := f.askIncarnationAnew(ctx, n, service)
	switch observed {
	case endcheck.Unclear, endcheck.Refused, endcheck.Shortage:
		if idle := f.takeIdleOfCalls(n); idle != nil && f.askIncarnationOn(ctx, n, service, idle) == endcheck.Same {
			return endcheck.Same
		}
	default:
	}
	if err != nil {
		f.suspect(n, err)
	}
	return observed
}

// askIncarnationAnew asks on a new connection. An error means that none could be opened.
func (f *fleet) askIncarnationAnew(ctx context.Context, n *node, service *settings.ForwardedService) (endcheck.Observation, error) {
	conn, err := f.connect(ctx, n, reuseNever)
	switch {
	case err == nil:
		return f.askIncarnationOn(ctx, n, service, conn), nil
	case paths.IsLocal(err):
		return endcheck.Shortage, err
	case errors.Is(err, syscall.ECONNREFUSED):
		return endcheck.Refused, err
	case errors.Is(err, syscall.ECONNRESET):
		return endcheck.Unclear, err
	default:
		return endcheck.Silent, err
	}
}

// takeIdleOfCalls returns an idle connection that carried a call last, nil if there is none. An upstream may
// repeat its last answer there; that of a call is recognised by its ID, that of a poll is not.
func (f *fleet) takeIdleOfCalls(n *node) *upstreamConn {
	for {
		conn := f.takeIdle(n, reuseForCalls)
		if conn == nil || !conn.polled {
			return conn
		}
		conn.close()
	}
}

// askIncarnationOn asks on a connection, which is kept or closed.
func (f *fleet) askIncarnationOn(ctx context.Context, n *node, service *settings.ForwardedService, conn *upstreamConn) endcheck.Observation {
	head, isReport := f.identityMessage(n, service)
	if head == nil {
		f.keep(n, conn, 0)
		return endcheck.Unsupported
	}
	conn.polled = true // a second reply to this message would not be recognised
	r, err := f.exchangeSmall(ctx, n, conn, head, nil)
	switch {
	case err == nil:
		return f.identify(n, r, isReport)
	case ctx.Err() != nil:
		return endcheck.Silent
	default:
		return endcheck.Unclear
	}
}

// identityMessage returns the message whose reply shows which incarnation an upstream is, and whether the
// reply is a report. It is nil if the upstream can be asked nothing.
func (f *fleet) identityMessage(n *node, service *settings.ForwardedService) (message *httpwire.RequestHead, isReport bool) {
	switch {
	case service.Engine != nil:
		return f.options.Dialect.ReportMessage(n.address, n.name), true
	case service.HealthPath != "":
		return f.options.Dialect.HealthMessage(n.address, n.name, service.HealthPath), false
	default:
		return nil, false
	}
}

// identify returns what a reply to an identityMessage shows. The message names the intended incarnation, so that
// any other one rejects it.
func (f *fleet) identify(n *node, r *smallReply, isReport bool) endcheck.Observation {
	named := r.answer.Incarnation
	if r.answer.WrongIncarnation || named != "" && named != n.name {
		f.recordReplaced(n)
		return endcheck.Replaced
	}
	if f.isReplaced(n) {
		return endcheck.Replaced // its next start may reply under the same name
	}
	if !isReport {
		return identifyHealth(n, r)
	}
	report, err := f.options.Dialect.DecodeReport(r.body)
	switch {
	case r.status != http.StatusOK || err != nil:
		return endcheck.Unclear
	case n.incarnation > upstream.UnknownIncarnation && report.Incarnation > n.incarnation:
		f.recordReplaced(n)
		return endcheck.Replaced
	default:
		return endcheck.Same
	}
}

// identifyHealth returns what a reply to a health check shows that was not rejected as meant for another incarnation.
func identifyHealth(n *node, r *smallReply) endcheck.Observation {
	switch {
	case r.status == http.StatusOK || r.answer.Incarnation == n.name:
		return endcheck.Same
	case r.answer.NotRun && verdict.PromisesNotRun(r.status):
		return endcheck.Same // it is busy
	default:
		return endcheck.Unclear
	}
}

// isReplaced reports whether another incarnation is known to have replaced a node.
func (f *fleet) isReplaced(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.replaced
}
