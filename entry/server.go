package entry

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/bytebudget"
	"celeryport/resilient"
	"celeryport/verdict"
)

const (
	readBufferSize = 16 << 10 // bytes, limits the header of a request
	idleTimeout    = 75 * time.Second
	// statedIdle is the value of Keep-Alive in answers: callers that use a connection again until the idle timeout itself
	// would send a call while it is being closed.
	statedIdle = "timeout=74"
	// The listener limits the number of connections. The limit of fasthttp, which
	// rejects connections without a verdict, is set higher so that it is never reached.
	spareConnections = 64
	streamThreshold  = 64 << 10 // bytes of a body that fasthttp reads before it calls the handler
)

// Server serves callers and upstreams on the traffic address of an instance.
type Server struct {
	options     Options
	http        *fasthttp.Server
	driver      *driver
	sender      *sender
	pools       *pools
	disconnects *disconnectMonitor
	sweeper     *sweeper
	bodies      *bytebudget.Budget
	draining    drainState
	held        heldConns
	bound       atomic.Pointer[shutdownBound] // nil: no shutdown, or one without a bound
	address     atomic.Pointer[string]
}

// New returns a server. Serve starts it.
func New(options Options) (*Server, error) {
	pools, err := newPools(options.Process.Pools)
	if err != nil {
		return nil, errors.Wrap(err, "worker pools")
	}
	s := &Server{options: options, pools: pools, disconnects: newDisconnectMonitor(), bodies: bytebudget.New(maxBodyBytes)}
	s.held.stopping = s.draining.started
	s.sender = newSender(&s.options)
	s.driver = newDriver(&s.options, pools, s.sender)
	s.sweeper = newSweeper(&s.options, s.driver, s.sender.canceller)
	s.http = &fasthttp.Server{
		Handler:                       s.handle,
		ErrorHandler:                  s.handleError,
		Name:                          "celeryport",
		DisablePreParseMultipartForm:  true, // bodies are passed on byte for byte
		StreamRequestBody:             true,
		MaxRequestBodySize:            streamThreshold,
		ReadBufferSize:                readBufferSize,
		ReadTimeout:                   options.Process.ReadTimeout,
		IdleTimeout:                   idleTimeout,
		Concurrency:                   options.Process.MaxConnections + spareConnections,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: false,
		CloseOnShutdown:               true,
		Logger:                        quietLogger{},
	}
	return s, nil
}

// Serve serves connections until Shutdown, or until the listener no longer works.
func (s *Server) Serve(listener net.Listener) error {
	advertisedAddress := s.options.advertisedAddress(listener.Addr())
	s.address.Store(&advertisedAddress)
	s.driver.start()
	go s.sweeper.run()
	s.disconnects.start(func(e *exchange) { s.driver.abort(e, verdict.ReasonCallerLeft, "the caller left") })
	resilientListener := resilient.NewListener(s.options.Log, "callers", listener)
	return s.http.Serve(newCallerListener(resilientListener, s.options.Process.MaxConnections, s.options.Log, &s.held))
}

// quietLogger drops the log lines of fasthttp, which have no event number and contain
// addresses of callers who merely disconnected.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}
