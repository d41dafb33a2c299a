package slopes

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// gate holds all connections of one node, so that it can be made to die like a
// killed process: at once, without a word to the others.
type gate struct {
	net.Listener
	mu    sync.Mutex
	shut  bool
	conns []net.Conn
}

var errShut = errors.New("the node is dead")

func newGate(listener net.Listener) *gate { return &gate{Listener: listener} }

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, g.hold(conn)
}

// dial opens a connection of the node.
func (g *gate) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, g.hold(conn)
}

func (g *gate) hold(conn net.Conn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return errors.CombineErrors(errShut, conn.Close())
	}
	g.conns = append(g.conns, conn)
	return nil
}

// cut closes everything.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = true
	_ = g.Close()
	for _, conn := range g.conns {
		_ = conn.Close()
	}
}
