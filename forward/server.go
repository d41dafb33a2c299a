package forward

import (
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/bytebudget"
	"celeryport/callerconn"
	"celeryport/event"
	"celeryport/resend"
	"celeryport/resilient"
)

// Server accepts callers' connections and forwards their calls.
type Server struct {
	options     Options
	fleet       *fleet
	budgets     *resend.Budgets
	arbitration *arbitration
	shares      *shares                    // nil: organisations have no shares
	bodies      *bytebudget.Budget         // bytes of calls that were received or are being received
	answers     *bytebudget.Pool           // bytes of answers that are held as a whole
	draining    atomic.Pointer[drainState] // nil: calls are accepted
	inFlight    atomic.Int64               // calls that are being read or answered
	startedAt   time.Time
	idleLimit   callerconn.IdleLimit
	lastCall    atomic.Int64 // when a call arrived or ended last, in Unix nanoseconds
	peerings    atomic.Pointer[cachedPeering]
	reporters   reporters // used by ShareLoads
	denials     denialLog

	sharersLogged int // number of instances that share the repeat budgets; used by ShareLoads

	mu        sync.Mutex
	random    *rand.Rand
	conns     map[*callerConn]struct{}
	stoppedAt time.Time           // when Close was called, zero: not yet
	closed    bool                // no connection is served any more
	listener  net.Listener        // nil until Serve is called
	waiting   *resilient.Listener // holds the connections that wait
	accepting chan struct{}       // closed when Serve accepts no more
	handlers  sync.WaitGroup
}

// New returns a server that is not running yet.
func New(options Options) *Server {
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	bounds := bytebudget.BoundsFor(options.Memory)
	s := &Server{
		options:   options,
		startedAt: time.Now(),
		random:    options.Random,
		conns:     map[*callerConn]struct{}{},
		bodies:    bytebudget.New(bounds.Bodies),
		answers:   bytebudget.NewPool(bounds.Answers),
	}
	s.budgets = resend.NewBudgets(s.startedAt, options.Budget, s.sharers)
	s.fleet = newFleet(&s.options, s.budgets.CallRate)
	s.arbitration = newArbitration()
	if s.shares = newShares(&s.options); s.shares != nil {
		s.arbitration.queue.UseShares(s.shares)
	}
	return s
}

// Serve accepts connections until the listener closes or no longer works.
func (s *Server) Serve(inner net.Listener) error {
	waiting := resilient.NewListener(s.options.Log, "callers", inner)
	listener := s.limitConnections(waiting)
	ended := make(chan struct{})
	defer close(ended)
	s.mu.Lock()
	s.listener, s.waiting, s.accepting = listener, waiting, ended
	s.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			eventAcceptFailed.Log(s.options.Log, event.Fields{"error": err})
			return errors.Wrap(err, "accept connections")
		}
		s.serveConn(conn)
		s.acceptOn(waiting)
	}
}

// acceptOn lets a close that has begun accept connections for as long as more of them wait.
func (s *Server) acceptOn(waiting *resilient.Listener) {
	s.mu.Lock()
	stoppedAt := s.stoppedAt
	s.mu.Unlock()
	if !stoppedAt.IsZero() {
		_ = waiting.SetDeadline(earlier(stoppedAt.Add(callerconn.CloseReadTime), time.Now().Add(lastAcceptTime))) // fails only if it is closed
	}
}

func (s *Server) serveConn(conn net.Conn) { s.serveCaller(newCallerConn(s, conn)) }

// serveCaller serves a connection until it ends. One that was accepted while the server closed is
// closed at once, since Close waits for all that are served.
func (s *Server) serveCaller(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.close() // nothing was read from it
		c.logIdleEnd(endedStopping, 0, 0)
		return
	}
	c.interruption.Accept(time.Now(), !s.stoppedAt.IsZero())
	s.conns[c] = struct{}{}
	s.options.Metrics.Connections.Inc()
	s.handlers.Go(func() {
		c.serve()
		s.options.Metrics.Connections.Dec()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

// Ready reports whether callers should use this instance: the settings are known and the
// instance is not draining.
func (s *Server) Ready() bool {
	view := s.options.Plane.View()
	return s.draining.Load() == nil && view != nil && view.Tree != nil
}

const (
	// CloseGrace bounds how long Finish waits for the refusals of the calls that it interrupts.
	CloseGrace = 200 * time.Millisecond
	// lastAcceptTime is how long a close waits for one more connection to accept, within the time to read calls.
	lastAcceptTime = 20 * time.Millisecond
)

// Close closes the listener and all connections at once, see StopTaking and Finish.
func (s *Server) Close() {
	s.StopTaking()
	s.Finish(time.Now())
}

// StopTaking closes the listener and the connections without a call. Calls that are being read are refused, those
// under way go on.
func (s *Server) StopTaking() {
	s.mu.Lock()
	now := time.Now()
	s.stoppedAt = now
	for c := range s.conns {
		c.interruption.Stop(c.conn, now)
	}
	s.mu.Unlock()
	s.stopAccepting(now)
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
}

// Finish waits for the calls under way until a time, and interrupts what is left then: calls without an answer are
// refused, as far as that takes no longer than CloseGrace. It must be called after StopTaking.
func (s *Server) Finish(until time.Time) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.handlers.Wait()
	}()
	defer s.fleet.close()
	if endsWithin(ended, time.Until(until)) {
		return
	}
	s.interruptCalls()
	if !endsWithin(ended, CloseGrace) {
		s.closeConns()
		<-ended
	}
}

func endsWithin(ended <-chan struct{}, bound time.Duration) bool {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}

func (s *Server) interruptCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.interruption.Interrupt()
	}
}

// stopAccepting accepts the connections that wait already, whose callers may have sent a call, and closes the
// listener: the kernel would reset those that are not accepted.
func (s *Server) stopAccepting(now time.Time) {
	s.mu.Lock()
	listener, waiting, accepting := s.listener, s.waiting, s.accepting
	s.mu.Unlock()
	if listener == nil {
		return
	}
	if waiting.SetDeadline(now.Add(lastAcceptTime)) == nil {
		bound := time.NewTimer(callerconn.CloseReadTime + lastAcceptTime) // it may pause after a failure
		defer bound.Stop()
		select {
		case <-accepting:
		case <-bound.C:
		}
	}
	_ = listener.Close() // the listener may be closed already
}

// closeConns closes the connections of all callers. Answers that are being written are cut off.
func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.close()
	}
}

// draw returns a random number between 0 and 1.
func (s *Server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}
