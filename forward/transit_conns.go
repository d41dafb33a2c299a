package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/membership"
	"celeryport/rpc"
	"celeryport/transit"
)

// transits holds the connections over which other instances handle calls of this one.
type transits struct {
	key  string
	dial Dial

	mu    sync.Mutex
	peers *transit.Peers
	idle  map[string][]*transitConn // by control address
}

// transitConn is a connection to another instance. It carries one call at a time.
type transitConn struct {
	conn   net.Conn
	reader *bufio.Reader
	idleAt time.Time
}

const (
	// transitIdleFor is how long an idle connection is kept: shorter than the idle time that any
	// settings allow callers.
	transitIdleFor = time.Second
	// transitConnectTimeout bounds a new connection to another instance, which takes two round
	// trips between availability zones.
	transitConnectTimeout = 100 * time.Millisecond
)

var errNoTransit = errors.New("the instance handles no calls of others")

func newTransits(options *Options) *transits {
	dial := options.DialPeer
	if dial == nil {
		dialer := &net.Dialer{KeepAliveConfig: upstreamKeepAlive}
		dial = dialer.DialContext
	}
	return &transits{
		key: options.Process.InstanceKey, dial: dial, idle: map[string][]*transitConn{},
		peers: transit.NewPeers(options.Process.Name, options.Process.AvailabilityZone),
	}
}

func (t *transits) exist(instances []membership.Instance) bool {
	return t.peers.Exist(instances)
}

func (t *transits) choose(instances []membership.Instance, tried []string, draw float64) *membership.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.Choose(time.Now(), instances, tried, draw)
}

func (t *transits) decline(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.Decline(time.Now(), name)
}

// connect returns an idle connection to an instance or opens one. An error means that nothing was
// sent.
func (t *transits) connect(ctx context.Context, address string) (*transitConn, error) {
	if c := t.takeIdle(address); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, transitConnectTimeout)
	defer cancel()
	conn, err := t.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to another instance")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reader, err := t.upgrade(conn, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close() // nothing was sent on it
		return nil, err
	}
	return &transitConn{conn: conn, reader: reader}, nil
}

// upgrade turns a connection to a control address into one that carries calls.
func (t *transits) upgrade(conn net.Conn, address string) (*bufio.Reader, error) {
	if _, err := io.WriteString(conn, rpc.TransitUpgrade(address, t.key)); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(conn, upstreamBuffer)
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, errors.Wrap(err, "read the answer of another instance")
	}
	_ = answer.Body.Close() // it has none if the status is the expected one
	if answer.StatusCode != http.StatusSwitchingProtocols {
		return nil, errors.Wrapf(errNoTransit, "status %d", answer.StatusCode)
	}
	return reader, nil
}

func (t *transits) takeIdle(address string) *transitConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[address]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		t.idle[address] = list
		if time.Since(last.idleAt) < transitIdleFor && last.reader.Buffered() == 0 && !readable(last.conn) {
			return last
		}
		_ = last.conn.Close() // it is not used again
	}
	return nil
}

// keep returns a connection to the idle ones after a complete answer.
func (t *transits) keep(address string, c *transitConn) {
	if c.reader.Buffered() > 0 || c.conn.SetDeadline(time.Time{}) != nil {
		_ = c.conn.Close() // it is not used again
		return
	}
	c.idleAt = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle[address] = append(t.idle[address], c)
}

// sweep closes the connections that have been idle for long.
func (t *transits) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, list := range t.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleAt) < transitIdleFor {
				kept = append(kept, c)
				continue
			}
			_ = c.conn.Close() // it is not used again
		}
		clear(list[len(kept):])
		if t.idle[address] = kept; len(kept) == 0 {
			delete(t.idle, address)
		}
	}
}

// reachable reports whether an instance still accepts connections.
func (t *transits) reachable(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, transitConnectTimeout)
	defer cancel()
	conn, err := t.dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close() // only the connection was of interest
	return true
}
