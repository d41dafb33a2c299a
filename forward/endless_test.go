package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"celeryport/forward/telemetry"
	"celeryport/httpwire"
)

// smallDialect is a dialect for polls, checks and orders.
type smallDialect struct{ pollDialect }

func (smallDialect) OrderMessage(address string, _ *Order) (*httpwire.RequestHead, []byte, error) {
	return &httpwire.RequestHead{Method: http.MethodPost, Target: "/order", Fields: httpwire.Fields{{Name: "Host", Value: address}}}, []byte("{}"), nil
}

func (smallDialect) OrderDone(status int) bool { return status == http.StatusOK }

// smallRequests are the requests of an instance to an upstream that carry no call.
var smallRequests = map[string]struct {
	timeout time.Duration
	send    func(context.Context, *Server, *node) error
}{
	"poll": {pollTimeout, func(ctx context.Context, s *Server, n *node) error {
		_, err := s.pollOnce(ctx, n, reuseNever)
		return err
	}},
	"reservation": {orderTimeout, func(ctx context.Context, s *Server, n *node) error {
		return s.fleet.order(ctx, &reservation{node: n, tokens: 1}, &Order{Hold: leaseDuration})
	}},
	"release": {orderTimeout, func(ctx context.Context, s *Server, n *node) error {
		return s.fleet.order(ctx, &reservation{node: n}, &Order{Release: true})
	}},
	"health check": {connectTimeout, func(ctx context.Context, s *Server, n *node) error {
		conn, err := s.fleet.options.Dial(ctx, "tcp", n.address)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		return pathFleet{s.fleet}.Check(ctx, n.path(), conn)
	}},
}

// Guards against polls, reservations, orders and health checks that outlast their time, or read without bound, because
// the upstream sends bytes that become no answer.
func TestSmallRequestsEndThoughAnUpstreamSendsWithoutEnd(t *testing.T) {
	const (
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		most    = 100_000 // bytes
	)
	for pace, size := range map[time.Duration]int{20 * time.Millisecond: 1, 100 * time.Microsecond: 4 << 10} {
		for way, text := range map[string]struct{ begin, piece string }{
			"interim heads":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
			"blank lines":     {"", "\r\n"},
			"head":            {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
			"field line":      {"HTTP/1.1 200 OK\r\nA: ", "b"},
			"chunk size":      {chunked, "0"},
			"chunk extension": {chunked + "5;", "x"},
			"trailer":         {chunked + "0\r\n", "A: b\r\n"},
			"trailer line":    {chunked + "0\r\nA: ", "b"},
			"body":            {"HTTP/1.1 200 OK\r\n\r\n", "b"},
			"sized body":      {"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n", "b"},
			"failure":         {"HTTP/1.1 500 Failed\r\n\r\n", "b"},
		} {
			for name, request := range smallRequests {
				t.Run(name+"/"+way+"/"+pace.String(), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s, n := newServerWithNode(t)
						s.options.Dialect, s.fleet.options.Dialect = smallDialect{}, smallDialect{}
						registry := prometheus.NewRegistry()
						s.fleet.options.Metrics = telemetry.NewMetrics(registry)
						sent := make(chan int, 1)
						s.fleet.options.Dial = func(context.Context, string, string) (net.Conn, error) {
							near, far := net.Pipe()
							go func() { sent <- sendWithoutEnd(far, text.begin, text.piece, pace, size) }()
							return near, nil
						}
						began := time.Now()
						err := request.send(t.Context(), s, n)
						took := time.Since(began)
						total := <-sent
						closed := time.Since(began)
						s.fleet.close()
						if counted, err := testutil.GatherAndCount(registry, "forward_endless_answers_total"); err != nil || counted != 1 {
							t.Errorf("counted under %d labels, %v", counted, err)
						}
						if err == nil || took > request.timeout || closed > request.timeout+pace || total == 0 || total > most {
							t.Errorf("%v after %s, connection closed after %s and %d bytes", err, took, closed, total)
						}
					})
				})
			}
		}
	}
}

// sendWithoutEnd answers a request until the connection is closed, for ten seconds at most, and returns the bytes that were
// read of that.
func sendWithoutEnd(conn net.Conn, begin, piece string, pace time.Duration, size int) (total int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	head, err := httpwire.ReadRequestHead(reader, 1<<12)
	if err != nil {
		return 0
	}
	if _, err = httpwire.NewBody(reader, head.Body).ReadAll(1 << 12); err != nil {
		return 0
	}
	total, err = io.WriteString(conn, begin)
	text := strings.Repeat(piece, size)
	for until := time.Now().Add(10 * time.Second); err == nil && time.Now().Before(until); {
		time.Sleep(pace)
		var n int
		n, err = io.WriteString(conn, text[:size])
		text = text[size:] + text[:size]
		total += n
	}
	return total
}
