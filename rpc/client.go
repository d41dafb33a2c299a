package rpc

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
)

// Dial opens a connection. Tests provide their own implementation.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

const (
	dialTimeout     = time.Second
	idleConnections = 4
	idleTimeout     = 30 * time.Second
	maxHeadBytes    = 64 << 10 // of an answer
)

// MaxMessageBytes bounds the body of a request or an answer between instances. The largest ones carry the
// documents of operators and copies of ledgers.
const MaxMessageBytes = 64 << 20

// Clients calls the control addresses of instances with one key over keep-alive
// connections. It never retries a call by itself.
type Clients struct {
	key       string
	transport *http.Transport
	stats     Stats

	mu      sync.Mutex
	clients map[string]Control
}

// Stats counts the calls and the bytes on the connections of a Clients.
type Stats struct {
	Calls    atomic.Uint64
	Sent     atomic.Uint64 // bytes, including HTTP headers
	Received atomic.Uint64 // bytes, including HTTP headers
}

// NewClients returns clients that authenticate with key. A nil dial selects TCP.
func NewClients(key string, dial Dial) *Clients {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	c := &Clients{key: key, clients: map[string]Control{}}
	c.transport = &http.Transport{
		DialContext:         c.countingDial(dial),
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return c
}

// At returns the client for a control address.
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

// Close closes the idle connections.
func (c *Clients) Close() { c.transport.CloseIdleConnections() }

// errUnframed means that an answer has neither a length nor chunks. Instances send none, and its end may be that of a
// process that was killed: a part of an encoded message may be a message too.
var errUnframed = errors.New("the answer has neither a length nor chunks")

// Do implements HTTPClient. The time of a call is that of its context.
//
// net/http retries a request by itself when a keep-alive connection turns out to be
// closed and the body can be rewound. The instance may already have executed the
// first request, in which case the caller would learn of only one of two
// executions. Without GetBody the transport can't rewind the body, so the error is
// returned to the caller, which knows whether a retry is safe.
func (c *Clients) Do(req *http.Request) (*http.Response, error) {
	req.GetBody = nil
	req.Header.Set("Authorization", bearer+c.key)
	removeUnusedHeaders(req.Header)
	c.stats.Calls.Add(1)
	response, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close() // it is not read
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, MaxMessageBytes)
	return response, nil
}

func checkHead(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errUnframed
	}
	return httpwire.CheckStatusLine(response)
}

// removeUnusedHeaders removes the headers that no instance reads. At two syncs per second they
// would be a tenth of the traffic that an idle instance sends.
func removeUnusedHeaders(h http.Header) {
	h.Set("User-Agent", "") // an empty value prevents net/http from adding its default
	h.Del("Accept")
	h.Del("Twirp-Version")
}

// countingDial wraps dial so that the bytes on its connections are counted in the stats.
func (c *Clients) countingDial(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialBounded(ctx, dial, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, stats: &c.stats}, nil
	}
}

// countingConn counts the bytes read and written on one connection.
type countingConn struct {
	net.Conn
	stats *Stats
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stats.Received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.Sent.Add(uint64(n))
	return n, err
}
