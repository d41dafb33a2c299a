package resilient

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// socket repeats the attempts to take something from a listening socket.
type socket struct {
	log     logrus.FieldLogger
	purpose string // what the address serves, for the log
	address func() net.Addr
	failing *event.Event // logged when attempts fail
	works   *event.Event // logged when they succeed again

	mu     sync.Mutex // attempts may be made by several goroutines
	streak streak

	once   sync.Once
	closed chan struct{}
}

// take calls attempt until it succeeds, or returns its error if the socket is closed, at its
// deadline, or no longer works.
func (s *socket) take(attempt func() error) error {
	for {
		err := attempt()
		if err == nil {
			s.succeeded()
			return nil
		}
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		pause, again := s.failed(err)
		if !again {
			return err
		}
		timer := time.NewTimer(pause)
		select {
		case <-s.closed: // the next attempt returns net.ErrClosed
		case <-timer.C:
		}
		timer.Stop()
	}
}

// end ends the pause in take.
func (s *socket) end() { s.once.Do(func() { close(s.closed) }) }

func (s *socket) succeeded() {
	s.mu.Lock()
	failures, log := s.streak.succeeded()
	s.mu.Unlock()
	if log {
		s.works.Log(s.log, s.fields(event.Fields{"failures": failures}))
	}
}

// failed returns the pause before the next attempt, or false if there is none.
func (s *socket) failed(err error) (time.Duration, bool) {
	s.mu.Lock()
	n := s.streak.failed(time.Now(), err)
	s.mu.Unlock()
	if n.final {
		eventSocketFailed.Log(s.log, s.fields(event.Fields{"error": err}))
		return 0, false
	}
	if n.log {
		s.failing.Log(s.log, s.fields(event.Fields{"error": err, "failures": n.failures}))
	}
	return n.pause, true
}

// fields adds what identifies the socket.
func (s *socket) fields(fields event.Fields) event.Fields {
	fields["purpose"], fields["address"] = s.purpose, s.address().String()
	return fields
}
