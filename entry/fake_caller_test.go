package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

// call is one request of a caller.
type call struct {
	path    string
	headers map[string]string
	body    string
}

// reply is the answer that the caller got.
type reply struct {
	status  int
	verdict string
	body    []byte
	header  http.Header
	took    time.Duration
}

func completion(prompt string, stream bool) call {
	body, err := json.Marshal(completionBody{Model: "sarto", Prompt: prompt, MaxTokens: 8, Stream: stream})
	if err != nil {
		panic(err)
	}
	return call{path: pathCompletions, body: string(body)}
}

// send opens a connection and sends a call with the test key.
func (b *testBed) send(c call) (net.Conn, *http.Request) {
	b.t.Helper()
	conn, err := b.callers.Dial()
	if err != nil {
		b.t.Fatal(err)
	}
	method := http.MethodPost
	if c.body == "" && c.path == pathAddresses {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, "http://entry"+c.path, bytes.NewBufferString(c.body))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range c.headers {
		r.Header.Set(name, value)
	}
	if err := r.Write(conn); err != nil {
		b.t.Fatal(err)
	}
	return conn, r
}

// leaveAfterFirstText sends a call and closes the connection after the first byte of
// the answer.
func (b *testBed) leaveAfterFirstText(c call) {
	b.t.Helper()
	conn, r := b.send(c)
	response, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := response.Body.Read(make([]byte, 1)); err != nil {
		b.t.Fatal(err)
	}
	_ = conn.Close()
}

// do sends a call and reads the whole answer.
func (b *testBed) do(c call) reply {
	b.t.Helper()
	start := time.Now()
	conn, r := b.send(c)
	defer func() { _ = conn.Close() }()
	response, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		b.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	return reply{
		status: response.StatusCode, verdict: response.Header.Get(headerVerdict),
		body: body, header: response.Header, took: time.Since(start),
	}
}
