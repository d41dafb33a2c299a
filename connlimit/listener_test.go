package connlimit

import (
	"net"
	"net/http"
	"testing"

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
