package control

import (
	"context"
	"net"
	"sync"
)

// network connects the nodes of a fleet and can partition one silently: sent data is lost,
// but no connection is closed.
type network struct {
	mu  sync.Mutex
	off map[string]map[string]bool // partitioned control addresses, and for each those that it can still reach
}

// cut partitions an address from all others except the friends.
func (w *network) cut(address string, friends ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.off == nil {
		w.off = map[string]map[string]bool{}
	}
	w.off[address] = map[string]bool{address: true}
	for _, friend := range friends {
		w.off[address][friend] = true
	}
}

func (w *network) heal(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.off, address)
}

func (w *network) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	fromA, cutA := w.off[a]
	fromB, cutB := w.off[b]
	return (cutA && !fromA[b]) || (cutB && !fromB[a])
}

// dialFrom returns the dialer of the node at an address.
func (w *network) dialFrom(own string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if w.isCut(own, address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &cuttableConn{Conn: conn, network: w, from: own, to: address}, nil
	}
}

// cuttableConn drops data while its ends are partitioned from each other.
type cuttableConn struct {
	net.Conn
	network  *network
	from, to string
}

func (c *cuttableConn) Write(p []byte) (int, error) {
	if c.network.isCut(c.from, c.to) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cuttableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.network.isCut(c.from, c.to) {
			return n, err
		}
	}
}
