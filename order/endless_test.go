package order

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// Guards against orders that are held up, or memory that is used up, by an engine that sends bytes without end but
// no answer.
func TestAnswersWithoutEndAreCutOff(t *testing.T) {
	const (
		timeout = 2 * time.Second
		drip    = 20 * time.Millisecond
		flood   = time.Millisecond
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	many := func(line string) string { return strings.Repeat(line, (16<<10)/len(line)) }
	for name, test := range map[string]struct {
		begin, piece string
		every        time.Duration
	}{
		"interim answers":       {"", many("HTTP/1.1 100 Continue\r\n\r\n"), flood},
		"blank lines":           {"", "\r\n", drip},
		"many blank lines":      {"", many("\r\n"), flood},
		"head":                  {"HTTP/1.1 200 OK\r\nX-A: ", "a", drip},
		"large head":            {"HTTP/1.1 200 OK\r\n", many("X-A: a\r\n"), flood},
		"body":                  {"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", " ", drip},
		"large body":            {"HTTP/1.1 200 OK\r\n\r\n", many(" "), flood},
		"chunk size":            {chunked, "0", drip},
		"chunk extension":       {chunked + "5;", "a", drip},
		"large chunk extension": {chunked + "5;", many("a"), flood},
		"trailer":               {chunked + "2\r\n{}\r\n0\r\nX-A: ", "a", drip},
		"trailers":              {chunked + "2\r\n{}\r\n0\r\n", many("X-A: a\r\n"), flood},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := fasthttputil.NewInmemoryListener()
				sent := make(chan int, 1)
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						sent <- 0
						return
					}
					sent <- answerWithoutEnd(conn, test.begin, test.piece, test.every)
				}()
				c := newCaller("k", timeout, func(string) (net.Conn, error) { return listener.Dial() })
				start := time.Now()
				_, err := c.read("engine")
				took := time.Since(start)
				total := <-sent
				released := time.Since(start)
				_ = listener.Close()
				if err == nil || took > timeout || released > 2*timeout || total > 2*maxAnswer {
					t.Errorf("error %v after %v, connection released after %v and %d kB", err, took, released, total>>10)
				}
			})
		})
	}
}

// answerWithoutEnd answers a request with pieces until the connection is closed, for 20 seconds at most.
func answerWithoutEnd(conn net.Conn, begin, piece string, every time.Duration) (sent int) {
	defer func() { _ = conn.Close() }()
	var request fasthttp.Request
	if request.Read(bufio.NewReader(conn)) != nil {
		return 0
	}
	_, err := conn.Write([]byte(begin))
	for i := 0; err == nil && i < int(20*time.Second/every); i++ {
		<-time.NewTimer(every).C
		var n int
		n, err = conn.Write([]byte(piece))
		sent += n
	}
	return sent
}
