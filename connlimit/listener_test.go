package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
)

// Guards against connections over the limit that wait without an answer, and against a limit that
// stays reached after connections have been closed.
func TestConnectionsOverTheLimitAreRefusedAtOnce(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log, hook := test.NewNullLogger()
	refused := 0
	listener := New(inner, Options{Limit: 2, Log: log, Refused: func() { refused++ }})
	accepted := make(chan net.Conn)
	go func() {
		defer close(accepted)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	get := func() (*http.Response, error) {
		return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + inner.Addr().String())
	}
	for round := range 3 {
		var open []net.Conn
		for range 2 {
			caller, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			open = append(open, caller, <-accepted)
		}
		answer, err := get()
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
			t.Errorf("round %d: status %d, %v", round, answer.StatusCode, answer.Header)
		}
		for _, conn := range open {
			conn.Close()
			conn.Close() // counted once
		}
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	<-accepted
	if refused != 3 || len(hook.AllEntries()) != 1 {
		t.Errorf("%d refused, %d lines", refused, len(hook.AllEntries()))
	}
}

// Guards against callers over the limit that are closed unread, because others that send nothing hold all places of
// those that are refused.
func TestSilentConnectionsOverTheLimitMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := test.NewNullLogger()
		inner := pipes{conns: make(chan net.Conn)}
		listener := New(inner, Options{Limit: 1, Log: log, Refuse: func(conn net.Conn) {
			if AwaitRequest(conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			}
		}})
		go func() {
			for {
				if _, err := listener.Accept(); err != nil {
					return
				}
			}
		}()
		connect := func() net.Conn {
			caller, accepted := net.Pipe()
			t.Cleanup(func() { caller.Close() })
			inner.conns <- accepted
			return caller
		}
		for range 1 + maxRefusing {
			connect()
		}
		early := connect() // the others may be about to send something
		synctest.Wait()
		if _, err := early.Read(make([]byte, 1)); err == nil {
			t.Error("there is more room than allowed")
		}
		time.Sleep(silentTime)
		for range maxRefusing {
			caller := connect()
			go func() { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n") }() // the answer is checked
			answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			answer.Body.Close()
		}
		close(inner.conns)
	})
}

// Guards against callers over the limit that are closed unread, because others that have stopped within their requests
// or have their refusals already hold all places.
func TestInactiveConnectionsOverTheLimitMakeRoom(t *testing.T) {
	for name, sent := range map[string]string{"within a request": "GET / HTTP/1.1\r\n", "answered": "GET / HTTP/1.1\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, _ := test.NewNullLogger()
				inner := pipes{conns: make(chan net.Conn)}
				listener := New(inner, Options{Limit: 1, Log: log, Refuse: func(conn net.Conn) {
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n") // the answer is checked
					_, _ = io.Copy(io.Discard, conn)                                                             // until the connection is closed
				}})
				go func() {
					for {
						if _, err := listener.Accept(); err != nil {
							return
						}
					}
				}()
				connect := func(text string) *bufio.Reader {
					caller, accepted := net.Pipe()
					t.Cleanup(func() { caller.Close() })
					inner.conns <- accepted
					go func() { _, _ = io.WriteString(caller, text) }() // the answer is checked
					return bufio.NewReader(caller)
				}
				connect("")
				for range maxRefusing {
					r := connect(sent)
					go func() { _, _ = io.Copy(io.Discard, r) }() // until the connection is closed
				}
				synctest.Wait()
				time.Sleep(silentTime)
				for range maxRefusing {
					answer, err := http.ReadResponse(connect("GET / HTTP/1.1\r\n\r\n"), nil)
					if err != nil {
						t.Fatal(err)
					}
					answer.Body.Close()
				}
				close(inner.conns)
			})
		})
	}
}

// Guards against answers before the request, which clients report as a broken connection.
func TestRefusalWaitsForTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused, caller := net.Pipe()
		defer caller.Close()
		go func() {
			defer refused.Close()
			RefusePlainly(refused)
		}()
		if err := caller.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if n, err := caller.Read(make([]byte, 1)); n > 0 || err == nil {
			t.Error("answered before the request")
		}
		if err := caller.SetReadDeadline(time.Time{}); err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n") }()
		answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		if answer.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %d", answer.StatusCode)
		}
	})
}
