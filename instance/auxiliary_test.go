package instance

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
)

// pipeListener accepts the given connections.
type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a stop that closes the connection of a request for the list of addresses, readiness or
// metrics without an answer.
func TestAuxiliaryAnswersItsRequestsBeforeItStops(t *testing.T) {
	tests := []struct {
		name     string
		needs    time.Duration // for the answer, since the stop
		answered bool
	}{
		{"answers soon", auxiliaryGrace / 2, true},
		{"answers too late", time.Minute, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, _ := logtest.NewNullLogger()
				release := make(chan struct{})
				listener := newPipeListener()
				a := &auxiliary{log: log, purpose: "test", listener: listener, handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					<-release
					w.WriteHeader(http.StatusOK)
				})}
				ctx, stop := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- a.run(ctx) }()
				caller, accepted := net.Pipe()
				listener.conns <- accepted
				if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				stopped := time.Now()
				stop()
				time.AfterFunc(test.needs, func() { close(release) })
				answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
				if (err == nil) != test.answered {
					t.Errorf("answer %+v, error %v", answer, err)
				}
				if err == nil {
					if answer.Header.Get("Keep-Alive") == "" {
						t.Error("the answer does not state for how long the connection may be idle")
					}
					answer.Body.Close()
				}
				if err := <-ended; err != nil || time.Since(stopped) > auxiliaryGrace {
					t.Errorf("ended after %s: %v", time.Since(stopped), err)
				}
				caller.Close()
				time.Sleep(test.needs)
			})
		})
	}
}
