package entry

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/verdict"
)

const (
	readBufferSize = 16 << 10 // bytes, bounds the header of a request
	idleTimeout    = 75 * time.Second
	// The listener bounds the connections; fasthttp's own bound, which answers
	// without a verdict, is kept out of reach.
	spareConnections = 64
	streamThreshold  = 64 << 10 // bytes of a body that are read before the handler runs
)

// Server serves callers and upstreams on the traffic address of an instance.
type Server struct {
	options  Options
	http     *fasthttp.Server
	driver   *driver
	sender   *sender
	pools    *pools
	watch    *callerWatch
	sweeper  *sweeper
	bodies   *byteBudget
	draining drainState
	address  atomic.Pointer[string]
}

// New returns a server; Serve starts it.
func New(options Options) (*Server, error) {
	pools, err := newPools(options.Process.Pools)
	if err != nil {
		return nil, errors.Wrap(err, "worker pools")
	}
	s := &Server{options: options, pools: pools, watch: newCallerWatch(), bodies: newByteBudget(maxBodyBytes)}
	s.sender = newSender(&s.options)
	s.driver = newDriver(&s.options, pools, s.sender)
	s.sweeper = newSweeper(&s.options, s.driver, s.sender.canceller)
	s.http = &fasthttp.Server{
		Handler:                       s.handle,
		ErrorHandler:                  s.handleError,
		Name:                          "celeryport",
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

// Serve serves until Shutdown or a fault of the listener.
func (s *Server) Serve(listener net.Listener) error {
	advertised := s.options.advertised(listener.Addr())
	s.address.Store(&advertised)
	s.driver.start()
	go s.sweeper.run()
	s.watch.start(func(e *exchange) { s.driver.abandon(e, verdict.ReasonCallerLeft, "the caller left") })
	return s.http.Serve(newCallerListener(listener, s.options.Process.MaxConnections))
}

// quietLogger drops fasthttp's own lines, which are not numbered and hold
// addresses of callers who merely hung up.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}
