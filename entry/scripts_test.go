package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
)

const streamHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func writeFrame(conn net.Conn, f wire.Frame) {
	line, err := json.Marshal(f)
	if err != nil {
		panic(err)
	}
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(line)+1, line)
}

// frameOf fills in the request and attempt that a frame belongs to.
func frameOf(r *fasthttp.Request, f wire.Frame) wire.Frame {
	attempt, err := strconv.ParseUint(string(r.Header.Peek(wire.HeaderAttempt)), 10, 32)
	if err != nil {
		panic(err)
	}
	f.Request = string(r.Header.Peek(wire.HeaderRequestID))
	f.Attempt = uint32(attempt)
	return f
}

// startAnswer writes the header and the first words, one token each.
func startAnswer(conn net.Conn, r *fasthttp.Request, words ...string) {
	_, _ = io.WriteString(conn, streamHeader)
	for i, word := range words {
		writeFrame(conn, frameOf(r, wire.Frame{Offset: i, Text: word, Tokens: 1}))
	}
}

func endAnswer(conn net.Conn, r *fasthttp.Request, words ...string) {
	whole := strings.Join(words, "")
	writeFrame(conn, frameOf(r, wire.Frame{
		Offset: len(words), Final: true, Length: len(whole), Checksum: xxhash.Sum64String(whole),
	}))
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// answers is an engine that sends a complete answer.
func answers(words ...string) script {
	return func(conn net.Conn, r *fasthttp.Request) {
		startAnswer(conn, r, words...)
		endAnswer(conn, r, words...)
	}
}

// breaksAfter is an engine that closes the connection after the words and refuses to
// resume.
func breaksAfter(words ...string) script {
	return func(conn net.Conn, r *fasthttp.Request) {
		if len(r.Header.Peek(wire.HeaderOffset)) > 0 {
			refuses(conn, r)
			return
		}
		startAnswer(conn, r, words...)
	}
}

func refuses(conn net.Conn, _ *fasthttp.Request) {
	_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\n"+wire.HeaderRefused+": full\r\nContent-Length: 0\r\n\r\n")
}

// hangs reads the call and never answers.
func hangs(conn net.Conn, _ *fasthttp.Request) { _, _ = io.Copy(io.Discard, conn) }

// serviceAnswers is a plain service that answers with the body.
func serviceAnswers(body string) script {
	return func(conn net.Conn, _ *fasthttp.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// closesAfterReading is a plain service that reads the call and closes the connection.
func closesAfterReading(net.Conn, *fasthttp.Request) {}
