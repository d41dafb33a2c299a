package entry

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	lingerBytes = 64 << 20 // maximum size of the discarded rest of a body
	lingerTime  = 5 * time.Second
)

// linger sends the answer with "Connection: close", and then discards what the caller
// is still sending before it closes the connection. Closing at once would reset the
// connection, and the caller would see a broken call instead of the refusal with the
// verdict not-run. fasthttp closes the connection before a hijack if the response
// itself asks for it, so the answer is written here.
func linger(ctx *fasthttp.RequestCtx) {
	if ctx.Request.Header.ContentLength() == 0 || ctx.RequestBodyStream() == nil {
		ctx.SetConnectionClose()
		return
	}
	answer := &fasthttp.Response{}
	ctx.Response.CopyTo(answer)
	answer.SetConnectionClose()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { sendAndDiscard(conn, answer) })
}

func sendAndDiscard(conn net.Conn, answer *fasthttp.Response) {
	if conn.SetDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	w := bufio.NewWriter(conn)
	if answer.Write(w) != nil || w.Flush() != nil {
		return
	}
	discard(conn)
}

// discard reads and drops what a caller still sends, within limits.
func discard(conn net.Conn) { _, _ = io.CopyN(io.Discard, conn, lingerBytes) }
