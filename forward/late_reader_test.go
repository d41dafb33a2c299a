package forward

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// whole cuts the caller off from the machine of the server, as at the end of that machine, and reports whether its host
// has the whole answer.
func (r *lateReader) whole() bool {
	r.t.Helper()
	_ = r.conn.SetReadDeadline(time.Unix(1, 0))
	<-r.ended // after the bytes that it was about to read
	raw, err := r.conn.SyscallConn()
	if err != nil {
		r.t.Fatal(err)
	}
	acknowledged := 0
	if err := raw.Control(func(fd uintptr) { acknowledged, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		r.t.Fatal(err)
	}
	_ = r.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.CopyN(&r.read, r.conn, int64(acknowledged)); err != nil {
		r.t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(&r.read), nil)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return err == nil && string(body) == longRefusal+"\n"
}

// Guards against answers that are lost with the machine of an instance that stops although there was time for their
// callers, which read late, to receive them.
func TestStopWaitsForCallersThatReadLate(t *testing.T) {
	const (
		bound = 5 * time.Second
		slack = time.Second // of a busy machine
	)
	for name, call := range map[string]string{"last answer": lastCall, "kept connection": keptCall} {
		for _, late := range []time.Duration{0, 500 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
			t.Run(name+" "+late.String(), func(t *testing.T) {
				t.Parallel()
				s, lines := newCallerServer(t)
				s.options.Dialect = longDialect{}
				r := newLateReader(t, s, lines, call)
				go r.readAfter(late)
				began := time.Now()
				s.StopTaking()
				s.Finish(began.Add(bound))
				took := time.Since(began)
				if late > bound {
					r.conn.Close() // reads no more
					if line := awaitLine(t, lines, eventUnacknowledged.Number); line["cause"] != endedStopping || took < bound || took > bound+CloseGrace+slack {
						t.Errorf("took %s, %v", took, line)
					}
					return
				}
				if whole := r.whole(); !whole || took > late+slack {
					t.Errorf("whole answer: %t, took %s, %v", whole, took, linesOf(lines, eventUnacknowledged.Number))
				}
			})
		}
	}
}
