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
	// A long answer streams for minutes. A time limit on the whole response would cut it
	// off, and the caller would have to start again.
	warmUp(t)
	const beats = 90
	slow := func(conn net.Conn, r *fasthttp.Request) {
		startAnswer(conn, r, "one ")
		for range beats {
			<-time.NewTimer(time.Second).C
			writeFrame(conn, frameOf(r, wire.Frame{Heartbeat: true}))
		}
		endAnswer(conn, r, "one ")
	}
	inBubble(t, map[string]script{"e1": slow}, func(t *testing.T, b *testBed) {
		c := completion("p", true)
		c.headers = map[string]string{headerClass: "audit"}
		got := b.do(c)
		if !strings.HasSuffix(string(got.body), "data: [DONE]\n\n") {
			t.Errorf("cut off after %v: ...%q", got.took, got.body[max(0, len(got.body)-80):])
		}
	})
}

func TestSlowCallersDoNotBlockOthers(t *testing.T) {
	// A faulty or hostile client opens many connections, sends headers and then almost
	// nothing. Without limits it would occupy every connection and all memory, and other
	// callers would wait forever.
	warmUp(t)
	inBubble(t, map[string]script{"e1": answers("ok")}, func(t *testing.T, b *testBed) {
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
			t.Errorf("a normal caller got %d while the slow ones were connected: %s", got.status, got.body)
		}
		synctest.Wait()
		checkOverLimit(t, b)
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

// checkOverLimit opens the last allowed connection and checks the answer to the next
// one.
func checkOverLimit(t *testing.T, b *testBed) {
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

func TestMemoryOfBodiesIsBounded(t *testing.T) {
	// Many callers send prompts of a million tokens at once to a small instance. Without a
	// limit on the memory of bodies the process would be killed, with all its requests.
	warmUp(t)
	inBubble(t, map[string]script{"e1": answers("ok")}, func(t *testing.T, b *testBed) {
		held := int64(maxBodyBytes - 1000)
		if !b.server.bodies.Reserve(held) {
			t.Fatal("no memory available at the start")
		}
		got := b.do(completion(strings.Repeat("x", 2000), false))
		if got.status != 429 || got.verdict != "not-run" || got.header.Get(headerRetryAfter) == "" {
			t.Errorf("got %d %s: %s", got.status, got.verdict, got.body)
		}
		b.server.bodies.Release(held)
		if got := b.do(completion("p", false)); got.status != 200 {
			t.Errorf("after the memory was released: %d", got.status)
		}
		if free := b.server.bodies.Free(); free != maxBodyBytes {
			t.Errorf("%d bytes are not released", maxBodyBytes-free)
		}
	})
}

func TestStreamSilenceSettingIsApplied(t *testing.T) {
	// An operator shortens stream_silence because the network between two zones loses
	// connections. If the setting had no effect, callers would still wait for the
	// default.
	warmUp(t)
	inBubble(t, map[string]script{"e1": hangs}, func(t *testing.T, b *testBed) {
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
