package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"celeryport/delivery"
	"celeryport/forward/telemetry"
	"celeryport/httpwire"
	"celeryport/verdict"
)

// plainDialect adds no header fields to refusals.
type plainDialect struct{ Dialect }

func (plainDialect) CallID(head *httpwire.RequestHead) string { return head.Fields.Get("Name") }

func (plainDialect) RefusalFields(*Call, time.Duration) httpwire.Fields { return nil }

func TestPossiblyRunCallGetsNoNotRunStatus(t *testing.T) {
	// If an error says that the call may have run, the answer must not have a status that
	// callers take as a guarantee that it has not: they would send again a call that may run
	// only once.
	tests := []struct {
		err    error
		status int
	}{
		{verdict.New(verdict.MayHaveRun, verdict.ReasonNoUpstream, "gone"), http.StatusBadGateway},
		{verdict.New(verdict.MayHaveRun, verdict.ReasonShare, "above its share"), http.StatusBadGateway},
		{verdict.Refuse(verdict.ReasonNoUpstream, 0, "none"), http.StatusServiceUnavailable},
		{verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout, "late"), http.StatusGatewayTimeout},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := &Server{options: Options{Dialect: plainDialect{}, Log: log, Metrics: telemetry.NewMetrics(prometheus.NewRegistry())}}
	for _, test := range tests {
		ours, theirs := net.Pipe()
		go func() {
			x := &exchange{server: server, writer: &delivery.Writer{Conn: ours}, call: &Call{}, began: time.Now()}
			x.refuse(test.err)
		}()
		head, err := httpwire.ReadResponseHead(bufio.NewReader(theirs), defaultHeaderBytes, http.MethodGet)
		if err != nil || head.Status != test.status {
			t.Errorf("%v: answered with %+v (%v), want status %d", test.err, head, err, test.status)
		}
	}
}

func TestSuspicionGrowsAndEnds(t *testing.T) {
	var d suspicion
	now := time.Unix(1_700_000_000, 0)
	last := time.Duration(0)
	for range 12 {
		wait := d.raise(now)
		if wait < last || wait > maxSuspicion {
			t.Fatalf("%s after %s", wait, last)
		}
		last = wait
	}
	if !d.active(now) || d.active(now.Add(maxSuspicion)) {
		t.Error("the suspicion is not active for exactly its period")
	}
	if !d.clear() || d.active(now) || d.clear() {
		t.Error("clear does not reset the suspicion")
	}
}
