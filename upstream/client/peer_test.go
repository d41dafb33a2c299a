package client

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"celeryport/upstream/wire"
)

// peer is an upstream whose answers are written byte by byte by the test.
type peer struct {
	listener *fasthttputil.InmemoryListener
	calls    atomic.Int64
	done     chan struct{}
}

// newPeer starts a peer that reads one request per connection and calls script to
// answer it.
func newPeer(t *testing.T, script func(conn net.Conn, request *fasthttp.Request)) *peer {
	t.Helper()
	p := &peer{listener: fasthttputil.NewInmemoryListener(), done: make(chan struct{})}
	t.Cleanup(p.close)
	go func() {
		defer close(p.done)
		for {
			conn, err := p.listener.Accept()
			if err != nil {
				return
			}
			var request fasthttp.Request
			if request.Read(bufio.NewReader(conn)) == nil {
				p.calls.Add(1)
				script(conn, &request)
			}
			_ = conn.Close()
		}
	}()
	return p
}

// close stops the peer and waits for its goroutine, because a synctest bubble must
// not end with running goroutines.
func (p *peer) close() {
	_ = p.listener.Close()
	<-p.done
}

func (p *peer) client() *Client {
	return New(func(context.Context, string) (net.Conn, error) { return p.listener.Dial() }, "", owner, DefaultTiming)
}

const streamHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func frameLine(f wire.Frame) string {
	line, err := json.Marshal(f)
	if err != nil {
		panic(err)
	}
	return string(line) + "\n"
}

// frames returns the frames of a complete answer with one token per word.
func frames(request string, attempt uint32, words ...string) []wire.Frame {
	var list []wire.Frame
	for i, word := range words {
		list = append(list, wire.Frame{Request: request, Attempt: attempt, Offset: i, Text: word, Tokens: 1})
	}
	whole := strings.Join(words, "")
	return append(list, wire.Frame{
		Request: request, Attempt: attempt, Offset: len(words),
		Final: true, Length: len(whole), Checksum: xxhash.Sum64String(whole),
	})
}

func write(conn net.Conn, parts ...string) {
	for _, part := range parts {
		_, _ = conn.Write([]byte(part))
	}
}

func writeFrames(conn net.Conn, list ...wire.Frame) {
	for _, f := range list {
		write(conn, chunk(frameLine(f)))
	}
}

// hang sends nothing and keeps the connection open until the client closes it.
func hang(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

func owner() string { return "a/1" }
