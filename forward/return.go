package forward

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/failover"
	"celeryport/loadshare"
)

// signTimeout bounds the wait for the state of an engine that a call may leave or return to. Their answers take some
// milliseconds, and the caller is about to leave.
const signTimeout = 100 * time.Millisecond

// signs are the requests for the state of the engines of a call: the present one, and those that it has left.
type signs struct {
	contact failover.Contact // with the present one
	present *signRequest     // nil if the call has left no engine that may still get work
	left    []*node
	former  []*signRequest // by engine in left
}

// signRequest is a request for the state of an engine.
type signRequest struct {
	began    time.Time
	done     chan struct{} // closed when the result is known
	answered bool          // valid once done is closed
}

// askSign asks an engine for its state, in the background. Calls that ask at about the same time share a request.
func (s *Server) askSign(n *node) *signRequest {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := n.signRequest; r != nil && time.Since(r.began) < recheckInterval {
		return r
	}
	r := &signRequest{began: time.Now(), done: make(chan struct{})}
	n.signRequest = r
	go func() {
		defer close(r.done)
		ctx, cancel := context.WithTimeout(context.Background(), signTimeout)
		defer cancel()
		report, err := s.pollOnce(ctx, n, reuseNever)
		r.answered = err == nil || errors.Is(err, errUnreadableReport)
		if err == nil {
			s.recordReport(n, report)
		}
	}()
	return r
}

func (r *signRequest) sign() failover.Sign {
	select {
	case <-r.done:
		if r.answered {
			return failover.SignAnswered
		}
		return failover.SignNone
	default:
		return failover.SignAwaited
	}
}

// askSigns asks the present engine, and those that the call has left and that may still get work.
func (s *sending) askSigns(contact failover.Contact) *signs {
	x, f, now := s.x, s.x.server.fleet, time.Now()
	q := &signs{contact: contact}
	f.mu.Lock()
	nodes := f.inUse(x.server.options.Plane.View().Upstreams, x.service.Name)
	for _, key := range x.sentTo {
		if n := nodes[key]; n != nil && n != s.node && !n.blocked(now) && !n.terminated(now) {
			q.left = append(q.left, n)
		}
	}
	f.mu.Unlock()
	if len(q.left) == 0 {
		return q
	}
	q.present = x.server.askSign(s.node)
	for _, n := range q.left {
		q.former = append(q.former, x.server.askSign(n))
	}
	return q
}

// decide returns the engine that the call returns to, nil if it stays, and whether that is known yet.
func (q *signs) decide() (back *node, known bool) {
	if q.present == nil {
		return nil, true
	}
	former := make([]failover.Sign, len(q.former))
	for i, r := range q.former {
		former[i] = r.sign()
	}
	at, known := failover.Returns(q.present.sign(), former)
	if at < 0 {
		return nil, known
	}
	return q.left[at], true
}

// mayReturn reports whether the call may return to an engine that it has left. Only model engines can be asked for their
// state. A second return would let it alternate between two engines.
func (x *exchange) mayReturn() bool {
	return x.service.Engine != nil && x.leftSilent && len(x.sentTo) > 0 && !x.returned
}

// allowReturn lets the next placement choose an engine that the call has left, nil for none. What is known against that
// engine is older than its answer.
func (x *exchange) allowReturn(to *node) {
	if x.back = to; to != nil {
		x.tried = slices.DeleteFunc(slices.Clone(x.tried), func(key loadshare.Key) bool { return key == to.key })
	}
}
