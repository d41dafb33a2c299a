package forward

import (
	"net/http"
	"time"

	"celeryport/httpwire"
)

// asyncWriteSize is the message size from which a call is written concurrently with reading the
// answer: the upstream may answer before it has read the whole call, and a connection whose
// buffers are full in both directions would deadlock.
const asyncWriteSize = 32 << 10

// write sends the call.
func (s *sending) write() {
	x := s.x
	lastEvent, resumes := x.received.Last()
	head := x.server.options.Dialect.SendHead(x.call, &Send{
		Incarnation:  s.node.name,
		Organisation: x.organisation,
		Left:         time.Until(x.deadline),
		ResumeAfter:  lastEvent,
		Resumes:      resumes,
		Helpers:      s.work.helperList(),
	})
	if len(x.body) > 0 || x.call.Method == http.MethodPost || x.call.Method == http.MethodPut {
		head.Body = httpwire.Framing{Kind: httpwire.Sized, Length: int64(len(x.body))}
	}
	buffers := message(head.Append(nil), x.body)
	size := sizeOf(buffers)
	s.sent = make(chan error, 1)
	send := func() {
		err := s.conn.conn.SetWriteDeadline(x.deadline)
		if err == nil {
			_, err = s.conn.conn.WriteBuffers(&buffers)
		}
		s.sent <- err
	}
	if size > asyncWriteSize {
		go send()
		return
	}
	send()
}

// written reports without blocking whether the whole call has been written.
func (s *sending) written() bool {
	select {
	case err := <-s.sent:
		s.sent <- err
		return err == nil
	default:
		return false
	}
}
