package cli

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lateReaderBuffer = 4 << 10 // receive buffer of a caller that reads late
	// lateReaderSegment is the size of a segment on a usual network. With that of loopback, which exceeds the receive
	// buffer, the kernel may wait some 30 s before it sends more.
	lateReaderSegment = 1400
	lateReadersEach   = 4
	// lateStreamTokens is few enough that the kernel takes the whole stream, so that its connection is idle at SIGTERM.
	lateStreamTokens = 150
)

// lateCompletion is a call of a caller with a small receive buffer that reads nothing for a time.
type lateCompletion struct {
	conn   *net.TCPConn
	stream bool
	late   time.Duration // after SIGTERM
	read   bytes.Buffer
	cut    chan struct{} // closed when the machine of the instance ends
	ended  chan struct{} // closed when it reads no more
}

func (f *trafficFleet) sendLateCompletion(address string, stream bool, late time.Duration) *lateCompletion {
	f.t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		_ = raw.Control(func(fd uintptr) {
			err = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, lateReaderBuffer),
				unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, lateReaderSegment))
		})
		return err
	}}
	conn, err := dialer.DialContext(f.t.Context(), "tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	tokens := repeatedTokens
	if stream {
		tokens = lateStreamTokens
	}
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"prompt":"a long answer"}`, processModel, tokens, stream)
	if _, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		callerKey, len(body), body); err != nil {
		f.t.Fatal(err)
	}
	return &lateCompletion{conn: conn.(*net.TCPConn), stream: stream, late: late, cut: make(chan struct{}), ended: make(chan struct{})}
}

func (c *lateCompletion) readFrom(at time.Time) {
	defer close(c.ended)
	select {
	case <-time.After(time.Until(at)):
	case <-c.cut:
	}
	_, _ = c.read.ReadFrom(c.conn) // what is missing shows in received
}

// cutOff ends the reads of the caller.
func (c *lateCompletion) cutOff() {
	_ = c.conn.SetReadDeadline(time.Unix(1, 0)) // a failure shows in received
	close(c.cut)
}

// received returns nil if the caller's host has its whole answer. Whatever arrives later counts as lost, as it would be
// if the machine of the instance had ended with its process.
func (c *lateCompletion) received() error {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return err
	}
	<-c.ended
	arrived := 0
	if failed := raw.Control(func(fd uintptr) { arrived, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); failed != nil || err != nil {
		return errors.Join(failed, err)
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := io.CopyN(&c.read, c.conn, int64(arrived)); err != nil {
		return err
	}
	bytesRead := c.read.Len()
	answer, err := http.ReadResponse(bufio.NewReader(&c.read), nil)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	end := "}"
	if c.stream {
		end = "data: [DONE]"
	}
	if err != nil || answer.StatusCode != http.StatusOK || !strings.HasSuffix(strings.TrimSpace(string(text)), end) {
		return fmt.Errorf("status %d, broken off after %d bytes: %w", answer.StatusCode, bytesRead, err)
	}
	return nil
}

// Guards against completions that are lost with the machine of a stopped instance, although their callers would have read
// them within the drain timeout.
func TestStoppedProcessHasDeliveredItsCompletions(t *testing.T) {
	f := startTrafficFleet(t, 1, 1)
	var calls []*lateCompletion
	for range lateReadersEach {
		for _, stream := range []bool{false, true} {
			for _, late := range []time.Duration{0, 5 * time.Second, 7 * time.Second} {
				calls = append(calls, f.sendLateCompletion(f.traffic[1], stream, late))
			}
		}
	}
	time.Sleep(time.Second) // the streams have ended, the others run for about 3 s
	began := time.Now()
	f.signal(1, syscall.SIGTERM)
	for _, c := range calls {
		go c.readFrom(began.Add(c.late))
	}
	if err := f.processes[1].Wait(); err != nil {
		t.Error(err)
	}
	stopped := time.Since(began)
	f.processes[1] = nil
	for _, c := range calls {
		c.cutOff()
	}
	lost := 0
	for _, c := range calls {
		if err := c.received(); err != nil {
			lost++
			t.Errorf("stream %t, read %s after SIGTERM: %v", c.stream, c.late, err)
		}
	}
	t.Logf("stopped %s after SIGTERM, %d of %d answers lost", stopped, lost, len(calls))
}
