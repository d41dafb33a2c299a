package standin_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"celeryport/upstream"
	"celeryport/upstream/wire"
)

// network is an in-memory network that connects servers by address.
type network struct {
	mu        sync.Mutex
	listeners map[string]*fasthttputil.InmemoryListener
	conns     []net.Conn
}

func newNetwork() *network {
	return &network{listeners: map[string]*fasthttputil.InmemoryListener{}}
}

// listen returns a new listener for an address and replaces the previous one, as a restart does.
func (n *network) listen(address string) net.Listener {
	ln := fasthttputil.NewInmemoryListener()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = ln
	return ln
}

func (n *network) dial(_ context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	ln := n.listeners[address]
	n.mu.Unlock()
	if ln == nil {
		return nil, syscall.ECONNREFUSED
	}
	conn, err := ln.Dial()
	if err == nil {
		n.mu.Lock()
		n.conns = append(n.conns, conn)
		n.mu.Unlock()
	}
	return conn, err
}

// cut closes all connections that were dialled so far.
func (n *network) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		conn.Close()
	}
	n.conns = nil
}

// instance is an instance that only receives announcements.
type instance struct {
	server  *fasthttp.Server
	further []string

	mu       sync.Mutex
	received []upstream.Announcement
}

func startInstance(t *testing.T, n *network, address, key string, further ...string) *instance {
	t.Helper()
	i := &instance{further: further}
	i.server = &fasthttp.Server{NoDefaultDate: true, Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != wire.PathAnnounce || string(ctx.Request.Header.Peek("Authorization")) != "Bearer "+key {
			ctx.SetStatusCode(fasthttp.StatusUnauthorized)
			return
		}
		var a upstream.Announcement
		if err := json.Unmarshal(ctx.PostBody(), &a); err != nil {
			t.Error(err)
		}
		i.mu.Lock()
		i.received = append(i.received, a)
		i.mu.Unlock()
		body, _ := json.Marshal(&wire.AnnounceResponse{Addresses: i.further})
		ctx.SetBody(body)
	}}
	ln := n.listen(address)
	go i.server.Serve(ln)
	return i
}

func (i *instance) last() (upstream.Announcement, int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.received) == 0 {
		return upstream.Announcement{}, 0
	}
	return i.received[len(i.received)-1], len(i.received)
}

// post sends one JSON call on a new connection and returns the status.
func (n *network) post(t *testing.T, address, path string, body, answer any) int {
	t.Helper()
	conn, err := n.dial(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var request fasthttp.Request
	var response fasthttp.Response
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + path)
	request.Header.Set("Authorization", "Bearer "+engineKey)
	request.SetConnectionClose()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	request.SetBody(encoded)
	if _, err := request.WriteTo(conn); err != nil {
		t.Fatal(err)
	}
	if err := response.Read(bufio.NewReader(conn)); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(response.Body(), answer); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode()
}

func (b *bench) order(t *testing.T, order *wire.Order) wire.OrderResponse {
	t.Helper()
	var response wire.OrderResponse
	b.network.post(t, "engine", wire.PathOrder, order, &response)
	return response
}

// inBubble runs a test on virtual time in a synctest bubble. The idle workers of the
// servers end some time after their listener, and the bubble must not end before
// them.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		test(t)
	})
}
