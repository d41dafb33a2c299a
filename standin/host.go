package standin

import (
	"context"
	"crypto/subtle"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"celeryport/upstream"
	"celeryport/upstream/wire"
)

const (
	contentTypeJSON  = "application/json"
	contentTypeLines = "application/x-ndjson"
	bearer           = "Bearer "
	maxSmallAnswer   = 8 << 20
	readTimeout      = time.Minute
	idleTimeout      = 30 * time.Second
	drainPoll        = 20 * time.Millisecond
)

// host is the common part of both stand-ins: server, announcements, faults, journal
// and shutdown sequence.
type host struct {
	options   Options
	server    *fasthttp.Server
	faults    *Faults
	journal   *journal
	announcer *announcer
	leaving   atomic.Bool
	address   atomic.Value // string
	ctx       context.Context
	stop      context.CancelFunc
	workers   sync.WaitGroup

	mu       sync.Mutex
	listener *trackedListener
}

func newHost(o Options, handle fasthttp.RequestHandler, describe func(time.Time) upstream.Announcement, freeze func(bool)) *host {
	ctx, stop := context.WithCancel(context.Background())
	h := &host{
		options: o,
		journal: &journal{to: o.Journal, log: o.Log},
		faults:  newFaults(freeze),
		ctx:     ctx,
		stop:    stop,
	}
	h.address.Store(o.Address)
	h.announcer = newAnnouncer(&o, func(now time.Time) upstream.Announcement {
		return h.complete(describe(now))
	}, h.faults.whileFrozen)
	h.server = &fasthttp.Server{
		Handler:               h.guard(handle),
		MaxRequestBodySize:    o.MaxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		Logger:                discardLogger{},
	}
	return h
}

// discardLogger discards the messages of fasthttp about connections that a fault closed.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// complete sets the fields of an announcement that both stand-ins have in common.
func (h *host) complete(a upstream.Announcement) upstream.Announcement {
	a.Name = h.options.Name
	a.Incarnation = h.options.Incarnation
	a.Address = h.address.Load().(string)
	a.AvailabilityZone = h.options.AvailabilityZone
	a.Leaving = h.leaving.Load()
	return a
}

// serve accepts calls until the listener is closed.
func (h *host) serve(ln net.Listener, more ...func(context.Context)) error {
	if h.options.Address == "" {
		h.address.Store(ln.Addr().String())
	}
	tracked := track(ln)
	if !h.start(tracked, append(more, h.announcer.run)) {
		return errors.Wrap(tracked.Close(), "serve")
	}
	eventStarted.Log(h.options.Log, logrus.Fields{
		"name": h.options.Name, "address": h.address.Load(), "incarnation": h.options.Incarnation,
	})
	return errors.Wrap(h.server.Serve(tracked), "serve")
}

// start starts the workers. It returns false if the stand-in has already been closed.
func (h *host) start(tracked *trackedListener, workers []func(context.Context)) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil {
		return false
	}
	h.listener = tracked
	for _, worker := range workers {
		h.workers.Go(func() { worker(h.ctx) })
	}
	return true
}

// shutdown announces that the stand-in is leaving, waits for the announcement to
// propagate and for the running work, and stops. If ctx ends earlier, it aborts the
// remaining work and returns the error of ctx.
func (h *host) shutdown(ctx context.Context, busy func() bool) error {
	h.leaving.Store(true)
	eventLeaving.Log(h.options.Log, logrus.Fields{"name": h.options.Name})
	h.announcer.announceNow()
	propagation := time.NewTimer(h.options.LeaveWait)
	defer propagation.Stop()
	select {
	case <-propagation.C:
	case <-ctx.Done():
	}
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for busy() && ctx.Err() == nil {
		select {
		case <-poll.C:
		case <-ctx.Done():
		}
	}
	err := h.server.ShutdownWithContext(ctx)
	h.close()
	return errors.Wrap(err, "shut down")
}

// close stops the stand-in immediately, like a killed process.
func (h *host) close() {
	h.mu.Lock()
	h.stop()
	listener := h.listener
	h.mu.Unlock()
	if listener != nil {
		listener.closeAll()
	}
	h.workers.Wait()
	eventStopped.Log(h.options.Log, logrus.Fields{"name": h.options.Name})
}

// guard wraps a handler: it serves the fault and health paths, blocks while the
// stand-in is frozen, and checks the key and the expected incarnation.
func (h *host) guard(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		if path == pathFaults {
			h.serveFaults(ctx)
			return
		}
		h.faults.whileFrozen(h.ctx)
		if h.ctx.Err() != nil {
			_ = ctx.Conn().Close()
			return
		}
		if path == wire.PathHealth {
			ctx.SetBodyString("ok\n")
			return
		}
		if !h.authorised(ctx) {
			refuse(ctx, fasthttp.StatusUnauthorized, "unknown key")
			return
		}
		if !h.matchesIncarnation(ctx) {
			refuse(ctx, fasthttp.StatusConflict, wire.RefusedIncarnation)
			return
		}
		handle(ctx)
	}
}

func (h *host) authorised(ctx *fasthttp.RequestCtx) bool {
	if h.options.Key == "" {
		return true
	}
	given, found := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), bearer)
	return found && subtle.ConstantTimeCompare([]byte(given), []byte(h.options.Key)) == 1
}

// matchesIncarnation reports whether the call names this incarnation or none. A call
// that was routed to a terminated process must not run on its successor, because
// instances already count the work of the old process as lost.
func (h *host) matchesIncarnation(ctx *fasthttp.RequestCtx) bool {
	given := string(ctx.Request.Header.Peek(wire.HeaderIncarnation))
	return given == "" || given == strconv.FormatUint(h.options.Incarnation, 10)
}
