package standin

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/standin/enginemodel"
	"celeryport/upstream/wire"
)

// serveCancel cancels one request or all requests of an owner, and releases their
// reservations and exports.
func (e *Engine) serveCancel(ctx *fasthttp.RequestCtx) {
	var r wire.CancelRequest
	if !decode(ctx, &r) {
		return
	}
	if r.Request == "" && r.Owner == "" {
		refuse(ctx, fasthttp.StatusBadRequest, "neither request nor owner")
		return
	}
	respondJSON(ctx, &wire.CancelResponse{Cancelled: e.scheduler.cancel(time.Now(), &r)})
}

// serveReserve creates, renews or releases the reservation of one part of a span.
func (e *Engine) serveReserve(ctx *fasthttp.RequestCtx) {
	var r wire.ReserveRequest
	if !decode(ctx, &r) {
		return
	}
	if r.Request == "" || r.Tokens < 0 || r.LeaseMs < 0 {
		refuse(ctx, fasthttp.StatusBadRequest, "request, tokens or lease out of range")
		return
	}
	if e.leaving.Load() && r.Tokens > 0 && !e.scheduler.holds(jobID(r.Request, r.Attempt)) {
		refuse(ctx, fasthttp.StatusServiceUnavailable, "leaving")
		return
	}
	response := e.scheduler.reserve(time.Now(), &r)
	respondJSON(ctx, &response)
}

// serveHoldings answers with the holdings of the engine.
func (e *Engine) serveHoldings(ctx *fasthttp.RequestCtx) {
	respondJSON(ctx, e.Holdings())
}

// Holdings returns the requests, reservations and exports that hold memory on the engine.
func (e *Engine) Holdings() *wire.Holdings {
	return &wire.Holdings{
		Incarnation: e.options.Incarnation,
		Held:        e.scheduler.holdings(time.Now()),
	}
}

// has reports whether the engine has a stream for the request.
func (s *scheduler) has(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[request] != nil
}

// holds reports whether the job or reservation with the id holds memory.
func (s *scheduler) holds(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.model.Holdings(s.scale.model(time.Now())) {
		if h.ID == id {
			return true
		}
	}
	return false
}

// holdings converts the holdings of the model to the wire format. A request is
// listed with its current attempt, which a resume may have changed.
func (s *scheduler) holdings(now time.Time) []wire.Holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.scale.model(now)
	held := []wire.Holding{}
	for _, h := range s.model.Holdings(at) {
		one := wire.Holding{
			Owner:  h.Owner,
			Tokens: h.Tokens,
			Kind:   kindName(h.Kind),
			AgeMs:  s.scale.realDuration(at.Sub(h.Since)).Milliseconds(),
		}
		one.Request, one.Attempt = splitJobID(h.ID)
		if st := s.jobs[h.ID]; st != nil && h.Kind == enginemodel.HeldByRequest {
			one.Attempt = st.attempt
		}
		held = append(held, one)
	}
	return held
}

func kindName(kind enginemodel.HoldingKind) string {
	switch kind {
	case enginemodel.HeldByReservation:
		return "reservation"
	case enginemodel.HeldByExport:
		return "export"
	default:
		return "request"
	}
}

func splitJobID(id string) (request string, attempt uint32) {
	at := strings.LastIndexByte(id, '/')
	n, err := strconv.ParseUint(id[at+1:], 10, 32)
	if at < 0 || err != nil {
		return id, 0
	}
	return id[:at], uint32(n)
}
