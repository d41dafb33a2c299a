package backlog

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against connections without requests, and many connections at once, that keep others from
// being served.
func TestSilentConnectionsDoNotBlockOthers(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener, err := Listen(inner)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "served") }),
		ConnState:         listener.Track,
		ReadHeaderTimeout: time.Minute,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	for range 5 * maxUnread {
		silent, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 * maxUnread {
		answer, err := client.Get("http://" + inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = answer.Body.Close()
	}
	if err := server.Close(); err != nil {
		t.Error(err)
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		t.Error(err)
	}
}

// Guards against a server that serves callers which have left while others wait.
func TestConnectionsOfCallersThatLeftAreNotServedUnderLoad(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener, err := Listen(inner)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	for range maxUnread {
		defer dial().Close()
		if _, err := listener.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	for range maxUnread {
		_ = dial().Close()
	}
	waiting := dial()
	defer waiting.Close()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if conn.RemoteAddr().String() != waiting.LocalAddr().String() {
		t.Error("a connection whose caller has left is served")
	}
}
