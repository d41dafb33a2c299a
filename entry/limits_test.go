package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
)

func TestLongStreamIsNotCutOff(t *testing.T) {
	// An audit's answer streams for minutes. A limit on the whole response would
	// cut it off in the middle, and the franchisee would have to begin again.
	warm(t)
	const beats = 90
	slow := func(conn net.Conn, r *fasthttp.Request) {
		startAnswer(conn, r, "one ")
		for range beats {
			<-time.NewTimer(time.Second).C
			writeFrame(conn, frameOf(r, wire.Frame{Heartbeat: true}))
		}
		endAnswer(conn, r, "one ")
	}
	inBubble(t, map[string]script{"e1": slow}, func(t *testing.T, b *bench) {
		c := completion("p", true)
		c.headers = map[string]string{headerClass: "audit"}
		got := b.do(c)
		if !strings.HasSuffix(string(got.body), "data: [DONE]\n\n") {
			t.Errorf("cut off after %v: ...%q", got.took, got.body[max(0, len(got.body)-80):])
		}
	})
}

func TestSlowAndManyCallersDoNotStopGoodOnes(t *testing.T) {
	// A faulty or hostile client opens connections, sends a header and then one
	// byte now and then. Without limits it would take every connection and all
	// memory, and a client at the counter would wait for ever.
	warm(t)
	inBubble(t, map[string]script{"e1": answers("ok")}, func(t *testing.T, b *bench) {
		var slow []net.Conn
		for range testConnections - 1 {
			conn, err := b.callers.Dial()
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+
				"\r\nContent-Length: 8000000\r\n\r\n{")
			slow = append(slow, conn)
		}
		synctest.Wait()
		if got := b.do(completion("p", false)); got.status != 200 {
			t.Errorf("a good caller got %d beside the slow ones: %s", got.status, got.body)
		}
		synctest.Wait()
		overLimit(t, b)
		for _, conn := range slow {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != http.StatusBadRequest || response.Header.Get(headerVerdict) != "not-run" {
				t.Errorf("a slow caller got %d %s", response.StatusCode, response.Header.Get(headerVerdict))
			}
			_ = conn.Close()
		}
		b.checkCounts()
	})
}

// overLimit fills the last place and checks what the next connection is told.
func overLimit(t *testing.T, b *bench) {
	t.Helper()
	last, err := b.callers.Dial()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = last.Close() }()
	synctest.Wait()
	over, err := b.callers.Dial()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = over.Close() }()
	response, err := http.ReadResponse(bufio.NewReader(over), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(headerVerdict) != "not-run" {
		t.Errorf("over the limit: %d %s", response.StatusCode, response.Header.Get(headerVerdict))
	}
}

func TestBodiesAreBoundedInMemory(t *testing.T) {
	// Many callers send prompts of a million tokens at once to a small instance.
	// Without a bound on what is held the process is killed, with all its work.
	warm(t)
	inBubble(t, map[string]script{"e1": answers("ok")}, func(t *testing.T, b *bench) {
		held := int64(maxBodyBytes - 1000)
		if !b.server.bodies.take(held) {
			t.Fatal("no room at the start")
		}
		got := b.do(completion(strings.Repeat("x", 2000), false))
		if got.status != 429 || got.verdict != "not-run" || got.header.Get(headerRetryAfter) == "" {
			t.Errorf("got %d %s: %s", got.status, got.verdict, got.body)
		}
		b.server.bodies.give(held)
		if got := b.do(completion("p", false)); got.status != 200 {
			t.Errorf("after memory came back: %d", got.status)
		}
		if free := b.server.bodies.free.Load(); free != maxBodyBytes {
			t.Errorf("%d bytes are not given back", maxBodyBytes-free)
		}
	})
}

func TestSilenceOfTheSettingsHolds(t *testing.T) {
	// An operator shortens stream_silence since the network between two zones
	// loses connections. If the setting had no effect, callers would go on to wait
	// for the default.
	warm(t)
	inBubble(t, map[string]script{"e1": hangs}, func(t *testing.T, b *bench) {
		b.plane.view.Tree.Fleet.StreamSilence = 1500 * time.Millisecond
		c := completion("p", false)
		c.headers = map[string]string{headerDeadlineMs: "9000", headerNoRepeat: "true"}
		got := b.do(c)
		want := (maxResumes + 1) * 1500 * time.Millisecond
		if got.verdict != "may-have-run" || got.took < want || got.took > want+100*time.Millisecond {
			t.Errorf("got %s after %v, want about %v", got.verdict, got.took, want)
		}
	})
}
