package control

import (
	"context"
	"net"
	"sync"
)

// network connects the nodes of a fleet and can partition one silently: sent data is lost,
// but no connection is closed.
type network struct {
	mu          sync.Mutex
	partitioned map[string]map[string]bool // partitioned control addresses, and for each those that it can still reach
}

// partition partitions an address from all others except the friends.
func (w *network) partition(address string, friends ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.partitioned == nil {
		w.partitioned = map[string]map[string]bool{}
	}
	w.partitioned[address] = map[string]bool{address: true}
	for _, friend := range friends {
		w.partitioned[address][friend] = true
	}
}

func (w *network) reconnect(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.partitioned, address)
}

func (w *network) isPartitioned(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	fromA, cutA := w.partitioned[a]
	fromB, cutB := w.partitioned[b]
	return (cutA && !fromA[b]) || (cutB && !fromB[a])
}

// dialFrom returns the dialer of the node at an address.
func (w *network) dialFrom(own string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if w.isPartitioned(own, address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &partitionableConn{Conn: conn, network: w, from: own, to: address}, nil
	}
}

// partitionableConn drops data while its ends are partitioned from each other.
type partitionableConn struct {
	net.Conn
	network  *network
	from, to string
}

func (c *partitionableConn) Write(p []byte) (int, error) {
	if c.network.isPartitioned(c.from, c.to) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *partitionableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.network.isPartitioned(c.from, c.to) {
			return n, err
		}
	}
}
