package entry

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// watchInterval is how often the connections of waiting callers are looked at.
const watchInterval = 250 * time.Millisecond

// callerWatch notices callers who leave while they wait. fasthttp tells a
// handler only when a write fails; until the first token nothing is written, and
// the engine would go on with work that nobody waits for.
type callerWatch struct {
	left    func(*exchange)
	stop    chan struct{}
	stopped chan struct{}

	mu      sync.Mutex
	waiting map[*exchange]syscall.RawConn
}

func newCallerWatch() *callerWatch {
	return &callerWatch{
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
		waiting: map[*exchange]syscall.RawConn{},
	}
}

func (w *callerWatch) start(left func(*exchange)) {
	w.left = left
	go w.run()
}

func (w *callerWatch) close() {
	close(w.stop)
	<-w.stopped
}

func (w *callerWatch) run() {
	defer close(w.stopped)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			for _, e := range w.gone() {
				w.left(e)
			}
		}
	}
}

// add watches the caller's connection until remove. Connections that are no
// sockets can't be watched.
func (w *callerWatch) add(e *exchange, conn net.Conn) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting[e] = raw
}

func (w *callerWatch) remove(e *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, e)
}

func (w *callerWatch) gone() []*exchange {
	w.mu.Lock()
	defer w.mu.Unlock()
	var gone []*exchange
	for e, raw := range w.waiting {
		if hungUp(raw) {
			gone = append(gone, e)
			delete(w.waiting, e)
		}
	}
	return gone
}

// hungUp looks at the next byte of a socket without taking it. The end of the
// stream or an error other than "nothing there" means that the peer has left.
func hungUp(raw syscall.RawConn) bool {
	left := false
	err := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = (err == nil && n == 0) || (err != nil && err != unix.EAGAIN && err != unix.EINTR)
	})
	return left || err != nil
}
