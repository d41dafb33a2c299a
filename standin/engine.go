package standin

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"celeryport/upstream"
	"celeryport/upstream/wire"
)

// Engine is a stand-in model engine.
type Engine struct {
	*host
	options   EngineOptions
	scheduler *scheduler
	orders    *orders
	spans     spanChecker
}

// NewEngine returns an engine, which starts with Serve.
func NewEngine(o EngineOptions) *Engine {
	now := time.Now()
	o = o.withDefaults(now)
	e := &Engine{options: o, orders: newOrders(&o)}
	e.scheduler = newScheduler(&o, now, e.journalStream, e.logReaderLost)
	e.host = newHost(o.Options, e.handle, e.describe, func(frozen bool) {
		e.scheduler.freeze(time.Now(), frozen)
	})
	e.spans = spanChecker{dial: o.Dial, key: o.Key}
	return e
}

// Serve accepts calls on the listener until Shutdown or Close.
func (e *Engine) Serve(ln net.Listener) error { return e.serve(ln, e.scheduler.run) }

// Shutdown announces that the engine is leaving, refuses new work, waits for the
// running requests and stops. If ctx ends earlier, the remaining requests are
// aborted.
func (e *Engine) Shutdown(ctx context.Context) error { return e.shutdown(ctx, e.scheduler.busy) }

// Close stops the engine immediately, like a killed process, except that the journal
// still records the end of the running requests (EndedStopped).
func (e *Engine) Close() { e.close() }

// Name returns the announced name.
func (e *Engine) Name() string { return e.options.Name }

// Incarnation returns the announced incarnation.
func (e *Engine) Incarnation() uint64 { return e.options.Incarnation }

// describe returns an announcement with the fields that are specific to an engine.
func (e *Engine) describe(now time.Time) upstream.Announcement {
	load, events := e.scheduler.report(now)
	state := e.orders.read(e.options.Incarnation)
	config := e.scheduler.model.Config()
	return upstream.Announcement{
		Kind:         upstream.Engine,
		Targets:      state.Models,
		Adapters:     state.Adapters,
		Version:      state.Version,
		MemoryTokens: config.MemoryTokens,
		Slots:        config.MaxRunning,
		Fencing:      e.options.Fencing,
		Load:         load,
		CacheEvents:  events,
	}
}

// handle dispatches the paths of package wire.
func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case wire.PathGenerate:
		e.serveGenerate(ctx)
	case wire.PathCancel:
		e.serveCancel(ctx)
	case wire.PathReserve:
		e.serveReserve(ctx)
	case wire.PathHoldings:
		e.serveHoldings(ctx)
	case wire.PathOrder:
		e.serveOrder(ctx)
	case wire.PathState:
		respondJSON(ctx, e.orders.read(e.options.Incarnation))
	case wire.PathKVExport:
		e.serveExport(ctx)
	case wire.PathKVImport:
		e.serveImport(ctx)
	default:
		refuse(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// journalStream writes the beginning or the end of a stream to the journal, and logs
// an early end.
func (e *Engine) journalStream(s *stream, how Ending) {
	if how != EndedWhole && how != Begun {
		eventCancelled.Log(e.options.Log, logrus.Fields{"request": s.request, "attempt": s.attempt, "ended": how})
	}
	e.journal.write(&Entry{
		At:           time.Now(),
		Upstream:     e.options.Name,
		Request:      s.request,
		Attempt:      s.attempt,
		Key:          s.key,
		Target:       s.model,
		PromptTokens: s.promptTokens,
		AnswerTokens: s.ready,
		Ended:        how,
	})
}

// logReaderLost logs that the connection of an answer broke.
func (e *Engine) logReaderLost(s *stream) {
	eventReaderLost.Log(e.options.Log, logrus.Fields{"request": s.request, "attempt": s.attempt})
}
