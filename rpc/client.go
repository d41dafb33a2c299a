package rpc

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Dial opens a connection; tests replace it.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

const (
	dialTimeout     = time.Second
	idleConnections = 4
	idleTimeout     = 30 * time.Second
)

// Clients calls the control addresses of instances with one key, over
// connections that are kept alive. It never repeats a call by itself.
type Clients struct {
	key       string
	transport *http.Transport
	stats     Stats

	mu      sync.Mutex
	clients map[string]Control
}

// Stats counts what left and arrived over the connections of a Clients.
type Stats struct {
	Calls    atomic.Uint64
	Sent     atomic.Uint64 // bytes, with HTTP headers
	Received atomic.Uint64
}

// NewClients returns clients that authenticate with key. A nil dial uses TCP.
func NewClients(key string, dial Dial) *Clients {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	c := &Clients{key: key, clients: map[string]Control{}}
	c.transport = &http.Transport{
		DialContext:         c.counted(dial),
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return c
}

// At returns the client of one control address.
func (c *Clients) At(address string) Control {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, found := c.clients[address]
	if !found {
		client = NewControlProtobufClient("http://"+address, c)
		c.clients[address] = client
	}
	return client
}

// Stats returns the counters.
func (c *Clients) Stats() *Stats { return &c.stats }

// Close drops the idle connections.
func (c *Clients) Close() { c.transport.CloseIdleConnections() }

// Do implements HTTPClient.
//
// net/http sends a request again by itself when a kept-alive connection turns
// out to be closed and the body can be rewound. The first sending may have been
// executed, and the caller would learn of one execution only. Without GetBody
// the transport can't rewind, so the error reaches the caller, who knows whether
// a second sending is safe.
func (c *Clients) Do(req *http.Request) (*http.Response, error) {
	req.GetBody = nil
	req.Header.Set("Authorization", bearer+c.key)
	leaveOut(req.Header)
	c.stats.Calls.Add(1)
	return c.transport.RoundTrip(req)
}

// leaveOut drops the headers that no instance reads. At two syncs a second they
// would be a tenth of what an instance at rest sends.
func leaveOut(h http.Header) {
	h.Set("User-Agent", "") // else net/http adds its own
	h.Del("Accept")
	h.Del("Twirp-Version")
}

// counted wraps the connections that dial opens so that their bytes count.
func (c *Clients) counted(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := bounded(ctx, dial, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, stats: &c.stats}, nil
	}
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	stats *Stats
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stats.Received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.Sent.Add(uint64(n))
	return n, err
}
