package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp/fasthttputil"
)

// Guards against bodies that are changed on their way to a service, or refused, because they are parsed as forms.
func TestBodiesOfFormsArePassedOnAsTheyAre(t *testing.T) {
	const field = "--b\r\nContent-Disposition: form-data; name=\"a\"\r\nX-Other: y\r\n\r\nc\r\n--b--\r\n"
	got := make(chan string, 1)
	b := newTestBed(t, map[string]script{"s1": nil})
	defer b.close()
	_ = b.fakeUpstreams["s1"].listener.Close() // it would parse forms as well
	listener := fasthttputil.NewInmemoryListener()
	b.mu.Lock()
	b.fakeUpstreams["s1"] = &fakeUpstream{listener: listener}
	b.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				body, _ := io.ReadAll(r.Body)
				got <- string(body)
				serviceAnswers("ok")(conn, nil)
			}
			_ = conn.Close()
		}
	}()
	for _, body := range []string{field, "preamble\r\n" + field + "epilogue", "--b\r\nno form", "no form at all"} {
		conn, err := b.callers.Dial()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /v1/services/cassa/a HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nConnection: close\r\n"+
			"Content-Type: multipart/form-data; boundary=b\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
		answer, err := io.ReadAll(conn)
		received := "nothing"
		if len(got) > 0 {
			received = <-got
		}
		if err != nil || received != body {
			t.Errorf("%q: the service got %q, the caller %.50q, %v", body, received, answer, err)
		}
	}
}
