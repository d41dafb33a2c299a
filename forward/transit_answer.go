package forward

import (
	"bufio"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
	"celeryport/verdict"
)

func (t *transitSend) whole(ctx context.Context, head *httpwire.ResponseHead, reader *bufio.Reader) *outcome {
	ctx, cancel := context.WithDeadline(ctx, t.x.deadline)
	defer cancel()
	whole, err := t.x.readWhole(ctx, head, t.body(head, reader))
	if err != nil {
		return t.broken(err)
	}
	t.clean = !head.Close && reader.Buffered() == 0
	return &outcome{verdict: verdict.Ran, reached: true, whole: whole}
}

func (t *transitSend) stream(ctx context.Context, head *httpwire.ResponseHead, reader *bufio.Reader) *outcome {
	x := t.x
	if err := x.received.Start(runHead(head)); err != nil {
		return t.broken(err)
	}
	body := httpwire.NewBody(reader, head.Body)
	body.MustFrame = true
	events, end := x.eventReader(ctx, body)
	defer end()
	var idle idleEvents
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && body.Complete() {
			if err := x.received.End(); err != nil {
				return t.broken(err)
			}
			x.beginAnswer(head)
			idle.end(x)
			x.writer.End()
			t.clean = !head.Close && reader.Buffered() == 0
			return &outcome{verdict: verdict.Ran, reached: true}
		}
		if err != nil {
			return t.broken(err)
		}
		if idle.pass(x, &e) {
			t.meter.KeepAlive(time.Now())
		} else {
			if wanted, err := x.received.Accept(runEvent(&e)); err != nil || !wanted {
				if err != nil {
					return t.broken(err)
				}
				continue
			}
			t.meter.Part()
			x.beginAnswer(head)
			x.deliver(&e)
		}
		if x.writer.Failure() != nil {
			return t.broken(x.writer.Failure())
		}
	}
}
