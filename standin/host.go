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

// host is what both stand-ins have in common: server, announcements, faults,
// journal and the order of leaving.
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
		Logger:                silentLogger{},
	}
	return h
}

// silentLogger drops what fasthttp says of connections that a fault closed.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

// complete fills what the host knows of an announcement.
func (h *host) complete(a upstream.Announcement) upstream.Announcement {
	a.Name = h.options.Name
	a.Incarnation = h.options.Incarnation
	a.Address = h.address.Load().(string)
	a.AvailabilityZone = h.options.AvailabilityZone
	a.Leaving = h.leaving.Load()
	return a
}

// serve runs until the listener is closed.
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

// start starts the workers, unless the stand-in was closed before.
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

// shutdown announces the leaving, waits for the announcement to spread and for
// the work under way, and ends. When ctx ends earlier, it cuts off what is left
// and returns the error of ctx.
func (h *host) shutdown(ctx context.Context, busy func() bool) error {
	h.leaving.Store(true)
	eventLeaving.Log(h.options.Log, logrus.Fields{"name": h.options.Name})
	h.announcer.now()
	spread := time.NewTimer(h.options.LeaveWait)
	defer spread.Stop()
	select {
	case <-spread.C:
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

// close ends at once, as a killed process would.
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

// guard does what comes before every handler: freezing, faults, the check of the
// key and of the incarnation that is meant.
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
		if !h.meant(ctx) {
			refuse(ctx, fasthttp.StatusConflict, "another incarnation is meant")
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

// meant reports whether the call is for this incarnation. A call that was routed
// to a process which died must not run on the one that came after it: the work
// of the old one counts as lost already.
func (h *host) meant(ctx *fasthttp.RequestCtx) bool {
	given := string(ctx.Request.Header.Peek(wire.HeaderIncarnation))
	return given == "" || given == strconv.FormatUint(h.options.Incarnation, 10)
}
