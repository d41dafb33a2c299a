package cli

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Guards against a command that fills the memory with a response without end.
func TestAddressesWithoutEndAreRefused(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for sent, piece := 0, []byte(strings.Repeat(" ", 64<<10)); sent < 4*addressesBytes; sent += len(piece) {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	if _, err := fetchAddresses(server.Listener.Addr().String()); !errors.Is(err, fasthttp.ErrBodyTooLarge) {
		t.Errorf("error %v, want %v", err, fasthttp.ErrBodyTooLarge)
	}
}

// Guards against a list of addresses from an answer without a status.
func TestAddressesWithoutAStatusAreNone(t *testing.T) {
	for line, listed := range map[string]bool{
		"HTTP/1.1 000 None": false, "HTTP/1.1 600 None": false, "HTTP/0.9 200 OK": false, "HTTP/2.0 200 OK": false, "HTTP/1.1  200 OK": false,
		"HTTP/1.1 200 OK": true, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK": true,
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			if conn, err := listener.Accept(); err == nil {
				var request fasthttp.Request
				_ = request.Read(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, line+"\r\nContent-Length: 2\r\n\r\n{}")
				_ = conn.Close()
			}
		}()
		if _, err := fetchAddresses(listener.Addr().String()); listed != (err == nil) {
			t.Errorf("%q: %v", line, err)
		}
		listener.Close()
	}
}
