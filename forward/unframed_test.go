package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/failover"
	"celeryport/httpwire"
)

// identityDialect reads reports that say "report"; any other incarnation answers 421.
type identityDialect struct{ plainDialect }

func (identityDialect) ReportMessage(string, string) *httpwire.RequestHead {
	return &httpwire.RequestHead{Method: http.MethodGet, Target: "/report"}
}

func (identityDialect) HealthMessage(string, string, string) *httpwire.RequestHead {
	return &httpwire.RequestHead{Method: http.MethodGet, Target: "/health"}
}

func (identityDialect) DecodeAnswer(head *httpwire.ResponseHead) Answer {
	return Answer{CallID: head.Fields.Get("Call"), Incarnation: head.Fields.Get("Name"), WrongIncarnation: head.Status == http.StatusMisdirectedRequest}
}

func (identityDialect) DecodeReport(body []byte) (*EngineReport, error) {
	if string(body) != "report" {
		return nil, errors.New("no report")
	}
	return &EngineReport{}, nil
}

// Replies to the question which incarnation an upstream is.
const (
	sameReply  = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nreport"
	otherReply = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
)

// endingUpstream is what listens at the address of an upstream after its answer has ended.
type endingUpstream struct {
	silent  time.Duration // no connection is accepted until then
	dial    error         // of later connections; nil: they are accepted
	reply   string        // empty: none comes
	closes  bool          // the connection ends after the reply
	replies time.Duration // when it replies at the earliest
}

// dialer returns a dial function, and counts the connections that are opened.
func (u endingUpstream) dialer(t *testing.T, opened *atomic.Int64) func(ctx context.Context, network, address string) (net.Conn, error) {
	began := time.Now()
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		opened.Add(1)
		if time.Since(began) < u.silent {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if u.dial != nil {
			return nil, u.dial
		}
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		go func() {
			if _, err := far.Read(make([]byte, 1000)); err != nil {
				return
			}
			time.Sleep(time.Until(began.Add(u.replies)))
			_, _ = io.WriteString(far, u.reply)
			if u.closes {
				far.Close()
			}
		}()
		return near, nil
	}
}

// Guards against answers that are cut short and look whole because something accepts connections at the
// address of their upstream, and against whole ones that are dropped because their upstream is silent for a moment.
func TestOnlyTheUpstreamItselfProvesTheEndOfItsAnswer(t *testing.T) {
	const pause = 1200 * time.Millisecond
	for name, test := range map[string]struct {
		endingUpstream
		whole bool
	}{
		"replies":                           {endingUpstream{reply: sameReply}, true},
		"accepts after a pause, replies":    {endingUpstream{silent: pause, reply: sameReply}, true},
		"accepts, replies after a pause":    {endingUpstream{replies: pause, reply: sameReply}, true},
		"refuses":                           {endingUpstream{dial: syscall.ECONNREFUSED}, false},
		"refuses after a pause":             {endingUpstream{silent: pause, dial: syscall.ECONNREFUSED}, false},
		"accepts nothing":                   {endingUpstream{silent: time.Minute}, false},
		"accepts, never replies":            {endingUpstream{}, false},
		"accepts and closes":                {endingUpstream{closes: true}, false},
		"replies with a part":               {endingUpstream{reply: sameReply[:30], closes: true}, false},
		"replies with no report":            {endingUpstream{reply: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}, false},
		"replies with a failure":            {endingUpstream{reply: "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"}, false},
		"replies with the answer of a call": {endingUpstream{reply: "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 6\r\n\r\nreport"}, false},
		"another incarnation":               {endingUpstream{reply: otherReply}, false},
		"another name":                      {endingUpstream{reply: "HTTP/1.1 200 OK\r\nName: other\r\nContent-Length: 6\r\n\r\nreport"}, false},
		"no descriptor is left here":        {endingUpstream{dial: syscall.EMFILE}, false},
		"no port is left here":              {endingUpstream{dial: syscall.EADDRNOTAVAIL}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent, _ := newSilentSend(t, 0, 100)
				var opened atomic.Int64
				sent.x.server.options.Dialect = identityDialect{}
				sent.x.server.options.Dial = test.dialer(t, &opened)
				began := time.Now()
				err := sent.verifyEnd(t.Context(), &httpwire.ResponseHead{Body: httpwire.Framing{Kind: httpwire.UntilClose}})
				if whole := err == nil; whole != test.whole || !whole && !errors.Is(err, httpwire.ErrTruncated) {
					t.Errorf("after %s: %v", time.Since(began), err)
				}
				if took := time.Since(began); took > 2*failover.MaxSoundSilence {
					t.Errorf("decided after %s", took)
				}
			})
		})
	}
}

// Guards against a check of each of many answers that end at the same moment, which would open a connection
// for each, and against one that is used for an answer that ended after it.
func TestAnswersThatEndTogetherShareACheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, _ := newSilentSend(t, 0, 100)
		var opened atomic.Int64
		sent.x.server.options.Dialect = identityDialect{}
		sent.x.server.options.Dial = endingUpstream{reply: sameReply, replies: 200 * time.Millisecond}.dialer(t, &opened)
		ends := make(chan error, 41)
		check := func() {
			ends <- sent.verifyEnd(t.Context(), &httpwire.ResponseHead{Body: httpwire.Framing{Kind: httpwire.UntilClose}})
		}
		for range 40 {
			go check()
		}
		time.Sleep(100 * time.Millisecond)
		go check()
		for range cap(ends) {
			if err := <-ends; err != nil {
				t.Error(err)
			}
		}
		if count := opened.Load(); count != 2 {
			t.Errorf("%d connections, want 2", count)
		}
	})
}
