package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"celeryport/bytebudget"
	"celeryport/forward/telemetry"
	"celeryport/httpwire"
)

// callDialect decodes each request as a call without properties.
type callDialect struct{ plainDialect }

func (callDialect) DecodeCall(*httpwire.RequestHead) (*Call, error) { return &Call{}, nil }

// Guards against instances that are killed for their memory because many callers send long
// bodies slowly: calls for which there is no memory are refused at once, and the memory is free
// again when the bodies are gone.
func TestBodiesOfSlowCallersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		s.options.Dialect = callDialect{}
		s.options.Metrics = telemetry.NewMetrics(prometheus.NewRegistry())
		var callers []net.Conn
		send := func(text string) net.Conn {
			caller, conn := net.Pipe()
			callers = append(callers, caller)
			s.serveConn(conn)
			go func() { _, _ = io.WriteString(caller, text) }() // it ends with the connection
			return caller
		}
		const head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n"
		for range 40 {
			send(head + strings.Repeat("x", 1<<20))
		}
		synctest.Wait()
		if free := s.bodies.Free(); free < 0 || free >= 2<<20 {
			t.Errorf("%d bytes are free for other bodies", free)
		}
		refused := send(head + strings.Repeat("x", 3<<20))
		began := time.Now()
		answer := make([]byte, 64)
		n, _ := io.ReadAtLeast(refused, answer, 12)
		if got := string(answer[:n]); !strings.HasPrefix(got, "HTTP/1.1 429 ") || time.Since(began) > 0 {
			t.Errorf("the call without room got %q after %s", got, time.Since(began))
		}
		for _, caller := range callers {
			caller.Close()
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if free, all := s.bodies.Free(), bytebudget.BoundsFor(0).Bodies; free != all {
			t.Errorf("%d bytes are free after all callers have left, want %d", free, all)
		}
		s.Close()
	})
}

// Guards against the loss of an answer that its upstream has produced already because there is no
// memory for it at that moment.
func TestAnswerWaitsForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := bytebudget.NewPool(100)
		first, second := pool.Claim(100), pool.Claim(100)
		if err := awaitRoom(context.Background(), first)(80); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Second, first.Release)
		if err := awaitRoom(context.Background(), second)(80); err != nil {
			t.Errorf("the second answer is dropped: %v", err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := awaitRoom(ctx, first)(80); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("the wait ended with %v, want the deadline", err)
		}
	})
}

// Guards against an instance on a small machine that accepts as many bytes as one on a large one.
func TestHeldBytesFollowTheMachine(t *testing.T) {
	options := newTestServer(t, "front-1", "front-1").options
	options.Memory = 90 << 20
	s := New(options)
	if bodies, answers := s.bodies.Free(), s.answers.Free(); bodies != 15<<20 || answers != 10<<20 {
		t.Errorf("bounds of %d and %d bytes", bodies, answers)
	}
}
