package entry

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	lingerBytes = 64 << 20 // of an unread body that are thrown away
	lingerTime  = 5 * time.Second
)

// linger sends the answer, says that the connection closes, and before it does
// so throws away what the caller is still sending. Closing at once would reset
// the connection, and the caller would see a broken call instead of the refusal
// that says "not run". fasthttp closes before a hijack if the answer itself asks
// for it, so the answer is written here.
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

// discard reads what a caller still sends, within bounds.
func discard(conn net.Conn) { _, _ = io.CopyN(io.Discard, conn, lingerBytes) }
