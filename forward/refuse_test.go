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

	"celeryport/httpwire"
	"celeryport/verdict"
)

// plainDialect adds no header fields to refusals.
type plainDialect struct{ Dialect }

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
	server := &Server{options: Options{Dialect: plainDialect{}, Log: log, Metrics: NewMetrics(prometheus.NewRegistry())}}
	for _, test := range tests {
		ours, theirs := net.Pipe()
		go func() {
			x := &exchange{server: server, writer: &callerWriter{conn: ours}, call: &Call{}, began: time.Now()}
			x.refuse(test.err)
		}()
		head, err := httpwire.ReadResponseHead(bufio.NewReader(theirs), defaultHeaderBytes, http.MethodGet)
		if err != nil || head.Status != test.status {
			t.Errorf("%v: answered with %+v (%v), want status %d", test.err, head, err, test.status)
		}
	}
}

func TestRepeatsStayWithinTheShare(t *testing.T) {
	// A service begins to fail all its calls. If every instance repeated each of them, the
	// service would get twice its load when it is least able to handle it; all instances
	// together may send a fifth more plus a fixed number.
	const instances, calls = 8, 50
	budget := RepeatBudget{Ratio: 0.2, Slack: 104, Window: 10 * time.Second}
	now := time.Unix(1_700_000_000, 0)
	repeats := 0
	for range instances {
		b := newBudgets(budget, func() int { return instances })
		for range calls {
			now = now.Add(time.Millisecond)
			b.recordCall(now, "shop")
			for b.takeRepeat(now, "shop") {
				repeats++
			}
		}
	}
	if most := budget.Ratio*instances*calls + budget.Slack; float64(repeats) > most || float64(repeats) < most/2 {
		t.Errorf("%d repeats of %d calls, at most %.0f are allowed", repeats, instances*calls, most)
	}
	b := newBudgets(budget, func() int { return instances })
	for b.takeRepeat(now, "shop") {
	}
	if b.takeRepeat(now.Add(budget.Window/2), "shop") {
		t.Error("the share is available again before the end of the window")
	}
	if !b.takeRepeat(now.Add(budget.Window+time.Millisecond), "shop") {
		t.Error("the share is not available again after the window")
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
