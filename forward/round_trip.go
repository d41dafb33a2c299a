package forward

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
	"celeryport/trickle"
)

// roundTrip sends a small request to a node and returns the status and the body of the answer.
func (f *fleet) roundTrip(ctx context.Context, n *node, head *httpwire.RequestHead, body []byte, share reuse) (int, []byte, error) {
	conn, err := f.connect(ctx, n, share)
	if err != nil {
		return 0, nil, err
	}
	conn.polled = share == reuseForPolls
	return f.ask(ctx, n, conn, head, body)
}

// ask sends a small request on a connection and returns the status and the body of the answer. The
// connection is kept or closed.
func (f *fleet) ask(ctx context.Context, n *node, conn *upstreamConn, head *httpwire.RequestHead, body []byte) (int, []byte, error) {
	reply, err := f.exchangeSmall(ctx, n, conn, head, body)
	if err != nil {
		return 0, nil, err
	}
	return reply.status, reply.body, nil
}

// smallReply is the answer to a small request.
type smallReply struct {
	status int
	answer Answer
	body   []byte
}

// exchangeSmall does the same and returns the whole answer.
func (f *fleet) exchangeSmall(ctx context.Context, n *node, conn *upstreamConn, head *httpwire.RequestHead, body []byte) (*smallReply, error) {
	deadline, _ := ctx.Deadline()
	conn.liveness.deadline, conn.liveness.watch, conn.used = deadline, nil, true
	conn.liveness.meter = trickle.Meter{}
	if err := conn.conn.SetWriteDeadline(deadline); err != nil {
		conn.close()
		return nil, err
	}
	if head.Method == http.MethodPost {
		head.Body = httpwire.Framing{Kind: httpwire.Sized, Length: int64(len(body))}
	}
	if _, err := conn.conn.Write(append(head.Append(nil), body...)); err != nil {
		conn.close()
		return nil, err
	}
	reply, answer, err := f.readSmall(conn, head.Method)
	if err != nil {
		conn.close()
		cause := err
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cause = ctx.Err() // the connection may have been closed for it
		}
		f.recordEndless(roadSmall, n.name, n.address, cause, conn.liveness.meter.Drips(), nil)
		return nil, err
	}
	f.applyStatements(n, &reply.answer)
	rejected := reply.answer.NotRun || reply.answer.WrongIncarnation // a call can't tell a second, late one from its own
	if answer.Close || rejected || conn.reader.Buffered() > 0 {
		conn.close()
	} else {
		f.keep(n, conn, reply.answer.IdleFor)
	}
	return reply, nil
}

// readSmall reads the answer to a small request and returns its head, too. Late answers of calls are skipped.
func (f *fleet) readSmall(conn *upstreamConn, method string) (*smallReply, *httpwire.ResponseHead, error) {
	for range maxStrayAnswers {
		head, err := httpwire.ReadResponseHead(conn.reader, defaultHeaderBytes, method)
		if err != nil {
			return nil, nil, err
		}
		body, err := meteredBody(conn.reader, head, &conn.liveness.meter).ReadAll(defaultHeaderBytes)
		if err != nil {
			return nil, nil, err
		}
		if answer := f.options.Dialect.DecodeAnswer(head); answer.CallID == "" {
			return &smallReply{status: head.Status, answer: answer, body: body}, head, nil
		}
	}
	return nil, nil, errStray
}
