package entry

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// disconnectInterval is how often the connections of waiting callers are checked.
const disconnectInterval = 250 * time.Millisecond

// disconnectMonitor detects callers who disconnect while they wait. fasthttp reports
// a closed connection to a handler only when a write fails. Nothing is written
// before the first token, so without the monitor the engine would keep working on a
// request that nobody waits for.
type disconnectMonitor struct {
	onDisconnect func(*exchange)
	stop         chan struct{}
	stopped      chan struct{}

	mu          sync.Mutex
	connections map[*exchange]syscall.RawConn
}

func newDisconnectMonitor() *disconnectMonitor {
	return &disconnectMonitor{
		stop:        make(chan struct{}),
		stopped:     make(chan struct{}),
		connections: map[*exchange]syscall.RawConn{},
	}
}

func (m *disconnectMonitor) start(onDisconnect func(*exchange)) {
	m.onDisconnect = onDisconnect
	go m.run()
}

func (m *disconnectMonitor) close() {
	close(m.stop)
	<-m.stopped
}

func (m *disconnectMonitor) run() {
	defer close(m.stopped)
	ticker := time.NewTicker(disconnectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
			for _, e := range m.disconnected() {
				m.onDisconnect(e)
			}
		}
	}
}

// add monitors the caller's connection until remove is called. Connections that are
// not sockets can't be monitored.
func (m *disconnectMonitor) add(e *exchange, conn net.Conn) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections[e] = raw
}

func (m *disconnectMonitor) remove(e *exchange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.connections, e)
}

// disconnected returns the exchanges whose callers have disconnected and stops
// monitoring them.
func (m *disconnectMonitor) disconnected() []*exchange {
	m.mu.Lock()
	defer m.mu.Unlock()
	var disconnected []*exchange
	for e, raw := range m.connections {
		if isDisconnected(raw) {
			disconnected = append(disconnected, e)
			delete(m.connections, e)
		}
	}
	return disconnected
}

// isDisconnected reports whether the peer of a socket has closed or reset the connection. It consumes nothing, not even
// the error of a connection that has failed, which may precede bytes of the next call. A peer that closes its sending
// half after such bytes still waits for answers.
func isDisconnected(raw syscall.RawConn) bool {
	ended := false
	err := raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(poll, 0); err != nil || n == 0 {
			return // asked again soon
		}
		failed := poll[0].Revents&(unix.POLLERR|unix.POLLHUP|unix.POLLNVAL) != 0
		ended = failed || !hasData(int(fd))
	})
	return ended || err != nil
}

// hasData reports whether bytes wait at a socket whose peer has closed its sending half.
func hasData(fd int) bool {
	var one [1]byte
	n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n > 0 || err == unix.EINTR
}
