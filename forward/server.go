package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
)

// Server takes callers' connections.
type Server struct {
	options     Options
	fleet       *fleet
	budgets     *budgets
	arbitration *arbitration
	draining    atomic.Pointer[drainState] // nil: it takes calls
	inFlight    atomic.Int64
	startedAt   time.Time
	lastCall    atomic.Int64 // when the newest call came, Unix nanoseconds

	mu       sync.Mutex
	random   *rand.Rand
	conns    map[*callerConn]struct{}
	listener net.Listener
	handlers sync.WaitGroup
}

// New returns a server that is not running yet.
func New(options Options) *Server {
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	s := &Server{
		options:   options,
		startedAt: time.Now(),
		random:    options.Random,
		conns:     map[*callerConn]struct{}{},
	}
	s.budgets = newBudgets(options.Budget, s.instances)
	s.fleet = newFleet(&s.options, s.budgets.arrival)
	s.arbitration = newArbitration()
	return s
}

// Serve takes connections until the listener closes.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			eventAcceptFailed.Log(s.options.Log, event.Fields{"error": err})
			time.Sleep(acceptPause)
			continue
		}
		s.serveConn(conn)
	}
}

// acceptPause keeps a process that has run out of descriptors from spinning until
// others are closed.
const acceptPause = 10 * time.Millisecond

func (s *Server) serveConn(conn net.Conn) {
	c := newCallerConn(s, conn)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.options.Metrics.connections.Inc()
	s.handlers.Go(func() {
		c.serve()
		s.options.Metrics.connections.Dec()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

// Ready reports whether callers should come here: the settings are known and the
// instance does not leave.
func (s *Server) Ready() bool {
	view := s.options.Plane.View()
	return s.draining.Load() == nil && view != nil && view.Tree != nil
}

// DrainPlan says how a server ends its service.
type DrainPlan struct {
	Least   time.Duration // callers may come for so long with a list of addresses that they just got
	Quiet   time.Duration // it ends when no call came for so long
	Streams time.Duration // streams are taken for so long
	Calls   time.Duration // other calls are taken for so long
}

// drainState is a drain under way.
type drainState struct {
	began time.Time
	plan  DrainPlan
}

// Drain ends the service without cutting any call: new calls are still served,
// and their connections closed after the answer, until none came for a while and
// none is under way, or until ctx ends. What can't be finished any more by then is
// refused, which sends its caller elsewhere at once.
func (s *Server) Drain(ctx context.Context, plan DrainPlan) {
	began := time.Now()
	s.draining.Store(&drainState{began: began, plan: plan})
	ticker := time.NewTicker(drainTick)
	defer ticker.Stop()
	for {
		now := time.Now()
		idle := s.inFlight.Load() == 0 && now.Sub(time.Unix(0, s.lastCall.Load())) > plan.Quiet
		if idle && now.Sub(began) > plan.Least {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// takes reports whether a call that begins now can still be finished.
func (s *Server) takes(now time.Time, stream bool) bool {
	d := s.draining.Load()
	if d == nil {
		return true
	}
	limit := d.plan.Calls
	if stream {
		limit = d.plan.Streams
	}
	return now.Sub(d.began) < limit
}

// drainTick is how often a draining server looks whether it may end.
const drainTick = 50 * time.Millisecond

// Close ends the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	if s.listener != nil {
		_ = s.listener.Close() // it may be closed already
	}
	for c := range s.conns {
		_ = c.conn.Close() // nothing is under way on it that could still be saved
	}
	s.mu.Unlock()
	s.handlers.Wait()
	s.fleet.close()
}

// draw returns a random number between 0 and 1.
func (s *Server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// instances returns how many instances take callers, this one included.
func (s *Server) instances() int {
	view := s.options.Plane.View()
	count := 0
	for i := range view.Instances {
		if view.Instances[i].Address != "" {
			count++
		}
	}
	return max(1, count)
}
