package transit

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
	"celeryport/membership"
	"celeryport/rpc"
	"celeryport/socket"
)

// Dial opens a connection to another instance.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool chooses the instances that handle calls of this one, and holds the connections to them. It is
// safe for concurrent use.
type Pool struct {
	key  string
	dial Dial

	mu       sync.Mutex
	peers    *Peers
	idle     map[string][]*Conn  // by control address
	contacts map[string]*contact // by control address
	survey   *Survey
	replies  Confirmations
}

// Conn is a connection to another instance. It carries one call at a time.
type Conn struct {
	*socket.Conn
	Reader *bufio.Reader
	idleAt time.Time
}

const (
	// IdleFor is how long an idle connection is kept.
	IdleFor = time.Second
	// connectTimeout bounds a new connection to another instance, which takes two round
	// trips between availability zones.
	connectTimeout = 100 * time.Millisecond
)

const (
	// bufferSize is large enough for the head and the first events of a typical answer.
	bufferSize = 4 << 10
	// maxUpgradeHead bounds the bytes of the answer to an upgrade.
	maxUpgradeHead = 16 << 10
)

var (
	errNotAccepted   = errors.New("the instance handles no calls of others")
	errUpstreamEnded = errors.New("the instance finds the upstream to have ended")
	// ErrReachesNone means that an instance reaches no upstream of a service either.
	ErrReachesNone = errors.New("the instance reaches no upstream of the service either")
)

// NewPool returns a pool of the instance with a name in an availability zone. key is the secret that
// all instances share.
func NewPool(self, zone, key string, dial Dial) *Pool {
	return &Pool{key: key, dial: dial, idle: map[string][]*Conn{}, contacts: map[string]*contact{}, peers: NewPeers(self, zone), survey: NewSurvey()}
}

// Exist reports whether there is any other instance that handles calls.
func (p *Pool) Exist(instances []membership.Instance) bool { return p.peers.Exist(instances) }

// Choose returns the instance that is asked next to handle a call; see Peers. The one with the given
// name, which has said that it serves the service, is preferred.
func (p *Pool) Choose(instances []membership.Instance, serving string, tried []string, draw float64) *membership.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	if one := p.peers.named(instances, serving, tried); one != nil {
		return one
	}
	return p.peers.Choose(time.Now(), instances, tried, draw)
}

// Decline records that an instance declined a call or was not reached.
func (p *Pool) Decline(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers.Decline(time.Now(), name)
}

// confirmationRetention is how long a reply counts: an instance that has lost its paths since declines by itself.
const confirmationRetention = time.Minute

// Connect returns an idle connection to an instance or opens one for a call to a service, the paths to which were
// lost some time ago. An instance that has not replied since then that it reaches the service is asked first: it
// may have lost its paths at the same time. An error means that nothing was sent.
func (p *Pool) Connect(ctx context.Context, address, service string, lostFor time.Duration) (*Conn, error) {
	now := time.Now()
	ask, bound := rpc.TransitAsk{Service: service}, connectTimeout
	if !p.confirmed(now.Add(-lostFor), address, service) {
		ask.Verify, ask.Within, bound = true, max(lostFor, time.Millisecond), askTimeout
	} else if c := p.takeIdle(address); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	conn, err := p.open(ctx, address, ask)
	if err == nil && ask.Verify {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.replies.Confirm(now, address, service)
	}
	return conn, err
}

func (p *Pool) confirmed(since time.Time, address, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replies.Confirmed(since, address, service)
}

// open opens a connection.
func (p *Pool) open(ctx context.Context, address string, ask rpc.TransitAsk) (*Conn, error) {
	opened, err := p.connect(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to another instance")
	}
	conn := socket.NewConn(opened)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reader, err := p.upgrade(conn, address, ask)
	if !stop() {
		err = errors.WithSecondaryError(ctx.Err(), err)
	}
	if err != nil {
		_ = conn.Close() // nothing was sent on it
		return nil, err
	}
	return &Conn{Conn: conn, Reader: reader}, nil
}

func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return p.dial(ctx, "tcp", address)
}

// upgrade turns a connection to a control address into one that carries calls.
func (p *Pool) upgrade(conn net.Conn, address string, ask rpc.TransitAsk) (*bufio.Reader, error) {
	if _, err := io.WriteString(conn, rpc.TransitUpgrade(address, p.key, ask)); err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: conn, N: maxUpgradeHead}
	reader := bufio.NewReaderSize(limited, bufferSize)
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, errors.Wrap(err, "read the answer of another instance")
	}
	_ = answer.Body.Close() // it has none if the status is the expected one
	if err := httpwire.CheckStatusLine(answer); err != nil {
		return nil, errors.Mark(err, errNotAccepted)
	}
	switch answer.StatusCode {
	case http.StatusSwitchingProtocols:
		limited.N = math.MaxInt64 // what follows has limits of its own
		return reader, nil
	case rpc.StatusTransitReachesNone:
		return nil, ErrReachesNone
	case rpc.StatusTransitUpstreamEnded:
		return nil, errUpstreamEnded
	default:
		return nil, errors.Wrapf(errNotAccepted, "status %d", answer.StatusCode)
	}
}

func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if time.Since(last.idleAt) < IdleFor && last.Reader.Buffered() == 0 && !last.Readable() {
			return last
		}
		_ = last.Close() // it is not used again
	}
	return nil
}

// Keep returns a connection to the idle ones after a complete answer.
func (p *Pool) Keep(address string, c *Conn) {
	if c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close() // it is not used again
		return
	}
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// Close closes the idle connections.
func (p *Pool) Close() { p.Sweep(time.Now().Add(IdleFor)) }

// Sweep closes the connections that have been idle for long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepContacts(now)
	p.replies.Forget(now.Add(-confirmationRetention))
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleAt) < IdleFor {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // it is not used again
		}
		clear(list[len(kept):])
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}
