package order

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/clock"
	"celeryport/settings"
	"celeryport/upstream"
	"celeryport/upstream/wire"
)

// fixedSource provides fixed inputs to the driver.
type fixedSource struct {
	issuer atomic.Pointer[Issuer]
}

func (s *fixedSource) Issuer() Issuer                { return *s.issuer.Load() }
func (s *fixedSource) DesiredState() *settings.Tree  { return nil }
func (s *fixedSource) Upstreams() *upstream.Snapshot { return nil }

// countingEngine reads and counts each call and closes the connection without
// an answer.
func countingEngine(t *testing.T) (address string, calls *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	calls = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				calls.Add(1)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String(), calls
}

func testDriver(source Source) *Driver {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewDriver(source, Options{Log: log, Clock: clock.Real{}, Key: "k"})
}

func TestOrderIsSentOnce(t *testing.T) {
	// An engine reads an order, executes it and closes the connection before it
	// answers. HTTP clients often retry such requests automatically, and the
	// model would be loaded twice.
	address, calls := countingEngine(t)
	source := &fixedSource{}
	issuer := issuerOf(1, time.Now())
	source.issuer.Store(&issuer)
	o := &wire.Order{ID: "1-1-1", Term: 1, Index: 1, Kind: wire.OrderVersion, Value: "v2"}
	result := testDriver(source).call(Action{Engine: "e1", Address: address, Order: o})
	if result.State != nil || result.Accepted {
		t.Fatalf("result %+v", result)
	}
	if calls.Load() != 1 {
		t.Fatalf("the engine received the order %d times", calls.Load())
	}
}

func TestFrozenIssuerSendsNothingWhenItWakes(t *testing.T) {
	// The leader decides on an order and its process is frozen before sending
	// it. When it resumes, another issuer has long taken over; an engine that
	// ignores fencing numbers would execute the outdated order.
	address, calls := countingEngine(t)
	source := &fixedSource{}
	o := &wire.Order{ID: "1-1-1", Term: 1, Index: 1, Kind: wire.OrderVersion, Value: "v2"}
	lapsed := issuerOf(1, time.Now())
	lapsed.Until = time.Now()
	successor := issuerOf(2, time.Now())
	for name, issuer := range map[string]Issuer{"lapsed": lapsed, "another term": successor, "none": {}} {
		source.issuer.Store(&issuer)
		result := testDriver(source).call(Action{Engine: "e1", Address: address, Order: o})
		if result.State != nil || calls.Load() != 0 {
			t.Fatalf("%s: result %+v, calls %d", name, result, calls.Load())
		}
	}
}

func TestDriverStopsWithItsContext(t *testing.T) {
	source := &fixedSource{}
	source.issuer.Store(&Issuer{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := testDriver(source).Run(ctx); err == nil {
		t.Fatal("Run returned no error after the context was cancelled")
	}
}
