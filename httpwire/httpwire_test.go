package httpwire

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

const testLimit = 16 << 10

func readRequest(text string) (*RequestHead, []byte, error) {
	r := bufio.NewReader(strings.NewReader(text))
	head, err := ReadRequestHead(r, testLimit)
	if err != nil {
		return nil, nil, err
	}
	body, err := NewBody(r, head.Body).ReadAll(1 << 20)
	return head, body, err
}

func TestSmuggledRequestsAreRefused(t *testing.T) {
	// A caller sends bytes that two readers of one connection would split into different
	// requests. What one reads as a body the next reads as a request of its own, and runs
	// it for a caller who never sent it.
	tests := map[string]struct {
		text   string
		status int
	}{
		"two lengths":                 {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
		"two equal lengths":           {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
		"a length beside chunks":      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"a signed length":             {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", 400},
		"a list of lengths":           {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc", 400},
		"a huge length":               {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n", 400},
		"another coding":              {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501},
		"chunked coding twice":        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 501},
		"a signed chunk size":         {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n", 400},
		"a hexadecimal prefix":        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n", 400},
		"an empty chunk size":         {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\r\na\r\n0\r\n\r\n", 400},
		"a chunk above its size":      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", 400},
		"a bare LF after a chunk":     {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\n0\r\n\r\n", 400},
		"a bare LF in the head":       {"GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", 400},
		"a bare CR in a field":        {"GET / HTTP/1.1\r\nHost: a\r\nX: b\rY: c\r\n\r\n", 400},
		"a folded field":              {"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", 400},
		"a blank before the colon":    {"GET / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc", 400},
		"two hosts":                   {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		"no host":                     {"GET / HTTP/1.1\r\n\r\n", 400},
		"a control character":         {"GET /\x01 HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"no version":                  {"GET /\r\nHost: a\r\n\r\n", 400},
		"another version":             {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 400},
		"an absolute target":          {"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"a head above the limit":      {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", testLimit) + "\r\n\r\n", 431},
		"a body above the limit":      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n", 413},
		"chunks above the limit":      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n" + strings.Repeat("a", 2<<20) + "\r\n0\r\n\r\n", 413},
		"chunks in HTTP/1.0":          {"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"a head that is cut short":    {"GET / HTTP/1.1\r\nHost: a\r\n", 0},
		"a body that is cut short":    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab", 0},
		"a chunk that is cut short":   {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", 0},
		"chunks without the last one": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			head, body, err := readRequest(test.text)
			if err == nil {
				t.Fatalf("accepted: %+v %q", head, body)
			}
			if got := StatusOf(err); got != test.status {
				t.Errorf("status %d (%v), want %d", got, err, test.status)
			}
		})
	}
}

func TestBodyOfAnyMethodIsRead(t *testing.T) {
	// A GET carries a body. If its bytes were left on the connection, they would be read
	// as the next request.
	r := bufio.NewReader(strings.NewReader("GET /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: a\r\n\r\n"))
	for _, want := range []string{"/a", "/b"} {
		head, err := ReadRequestHead(r, testLimit)
		if err != nil || head.Target != want {
			t.Fatalf("%+v %v, want %s", head, err, want)
		}
		if _, err := NewBody(r, head.Body).ReadAll(10); err != nil {
			t.Fatal(err)
		}
	}
}

func TestHeadKeepsItsSpelling(t *testing.T) {
	text := "POST /a//b/%2F..?x=%20&y HTTP/1.1\r\nhOST: A.example\r\nx-lower: 1\r\nX-Tab:\t v \r\nContent-Length: 0\r\n\r\n"
	head, _, err := readRequest(text)
	if err != nil {
		t.Fatal(err)
	}
	if head.Target != "/a//b/%2F..?x=%20&y" || head.Path() != "/a//b/%2F.." {
		t.Errorf("target %q, path %q", head.Target, head.Path())
	}
	got := string((&RequestHead{Method: "POST", Target: head.Target, Fields: head.Fields.EndToEnd()}).Append(nil))
	want := "POST /a//b/%2F..?x=%20&y HTTP/1.1\r\nhOST: A.example\r\nx-lower: 1\r\nX-Tab: v\r\n\r\n"
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestHopByHopFieldsAreNotForwarded(t *testing.T) {
	fields := Fields{
		{"Host", "a"},
		{"Connection", "keep-alive, X-Mine"},
		{"x-mine", "1"},
		{"Keep-Alive", "timeout=5"},
		{"TE", "trailers"},
		{"Upgrade", "h2c"},
		{"Expect", "100-continue"},
		{"X-Other", "2"},
	}
	if got := fields.EndToEnd(); len(got) != 2 || got[0].Name != "Host" || got[1].Name != "X-Other" {
		t.Errorf("forwarded: %v", got)
	}
}

func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	// An upstream dies in the middle of its response. If what arrived counted as complete,
	// the caller would act on partial data.
	tests := map[string]string{
		"sized":              "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"chunked":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"within a chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc",
		"before the trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			r := bufio.NewReader(strings.NewReader(text))
			head, err := ReadResponseHead(r, testLimit, http.MethodGet)
			if err != nil {
				t.Fatal(err)
			}
			body := NewBody(r, head.Body)
			if _, err := io.ReadAll(body); err == nil || body.Complete() {
				t.Errorf("complete: %v %v", err, body.Complete())
			}
		})
	}
}

func TestResponseBodyEndsByItsFraming(t *testing.T) {
	tests := []struct {
		name, text, method, body string
		closes                   bool
	}{
		{"sized", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcX", "GET", "abc", false},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\nX", "GET", "abc", false},
		{"until the end of the connection", "HTTP/1.1 200 OK\r\n\r\nabc", "GET", "abc", true},
		{"response to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HEAD", "", false},
		{"without content", "HTTP/1.1 204 No Content\r\n\r\n", "GET", "", false},
		{"after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\na", "GET", "a", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := bufio.NewReader(strings.NewReader(test.text))
			head, err := ReadResponseHead(r, testLimit, test.method)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(NewBody(r, head.Body))
			if err != nil || string(body) != test.body || head.Close != test.closes {
				t.Errorf("body %q, close %t, %v", body, head.Close, err)
			}
		})
	}
}

func TestPartialEventIsNotReturned(t *testing.T) {
	r := NewEventReader(strings.NewReader("id: 1\ndata: a\n\nversions: 2\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c"), 1<<10)
	for i, want := range []Event{{ID: 1, HasID: true}, {ID: 2, HasID: true}, {}} {
		e, err := r.Next()
		if err != nil || e.ID != want.ID || e.HasID != want.HasID {
			t.Fatalf("event %d: %+v %v", i, e, err)
		}
	}
	if e, err := r.Next(); !errors.Is(err, ErrTruncated) {
		t.Errorf("an event that was cut short: %+v %v", e, err)
	}
}

func TestEventsAreReassembledFromAnyPieces(t *testing.T) {
	// The bytes of a stream arrive in pieces of any size, and lines may be longer than the
	// buffer. Joined again, the events must equal what was sent.
	rapid.Check(t, func(t *rapid.T) {
		var sent bytes.Buffer
		count := rapid.IntRange(0, 8).Draw(t, "events")
		for i := range count {
			sent.WriteString("id: ")
			sent.WriteByte(byte('0' + i))
			sent.WriteString("\ndata: " + strings.Repeat("x", rapid.IntRange(0, 2*eventBufferSize).Draw(t, "length")) + "\n\n")
		}
		r := NewEventReader(&pieceReader{data: sent.Bytes(), size: rapid.IntRange(1, 5000).Draw(t, "piece")}, 1<<20)
		var got []byte
		for i := range count {
			e, err := r.Next()
			if err != nil || !e.HasID || e.ID != int64(i) {
				t.Fatalf("event %d: id %d %v", i, e.ID, err)
			}
			got = append(got, e.Raw...)
		}
		if _, err := r.Next(); !errors.Is(err, io.EOF) {
			t.Fatalf("after the last event: %v", err)
		}
		if !bytes.Equal(got, sent.Bytes()) {
			t.Fatal("the events differ from what was sent")
		}
	})
}

// pieceReader returns data in pieces of one size.
type pieceReader struct {
	data []byte
	size int
}

func (p *pieceReader) Read(to []byte) (int, error) {
	if len(p.data) == 0 {
		return 0, io.EOF
	}
	n := copy(to, p.data[:min(p.size, len(p.data))])
	p.data = p.data[n:]
	return n, nil
}

func FuzzRequest(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
	f.Fuzz(func(t *testing.T, text string) {
		head, body, err := readRequest(text)
		if err != nil {
			return
		}
		// An accepted request must parse the same when it is forwarded.
		again := &RequestHead{Method: head.Method, Target: head.Target, Fields: head.Fields.EndToEnd(), Body: Framing{Kind: Sized, Length: int64(len(body))}}
		second, rest, err := readRequest(string(again.Append(nil)) + string(body))
		if err != nil || second.Target != head.Target || !bytes.Equal(rest, body) {
			t.Fatalf("%q is forwarded as %+v %q %v", text, second, rest, err)
		}
	})
}
