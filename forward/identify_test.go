package forward

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"

	"celeryport/endcheck"
	"celeryport/upstream"
)

// startDialect reads reports that consist of the incarnation.
type startDialect struct{ plainDialect }

func (startDialect) DecodeReport(body []byte) (*EngineReport, error) {
	incarnation, err := strconv.ParseUint(string(body), 10, 64)
	return &EngineReport{Incarnation: incarnation}, errors.Wrap(err, "no report")
}

// Guards against replies that count as those of the upstream that wrote an answer although a process of the same
// name that started later, or one that rejects whatever it is asked, sends them as well.
func TestReplyOfTheSameIncarnation(t *testing.T) {
	const start = 1_700_000_000_000
	rejected := Answer{NotRun: true}
	for name, test := range map[string]struct {
		started  uint64 // the incarnation that wrote the answer
		isReport bool
		reply    smallReply
		want     endcheck.Observation
	}{
		"healthy":                       {upstream.UnknownIncarnation, false, smallReply{status: http.StatusOK}, endcheck.Same},
		"its queue is full":             {upstream.UnknownIncarnation, false, smallReply{status: http.StatusServiceUnavailable, answer: rejected}, endcheck.Same},
		"it limits its rate":            {upstream.UnknownIncarnation, false, smallReply{status: http.StatusTooManyRequests, answer: rejected}, endcheck.Same},
		"it leaves":                     {upstream.UnknownIncarnation, false, smallReply{status: http.StatusServiceUnavailable, answer: Answer{Incarnation: "i-1"}}, endcheck.Same},
		"a failure":                     {upstream.UnknownIncarnation, false, smallReply{status: http.StatusServiceUnavailable}, endcheck.Unclear},
		"it doesn't know what is asked": {upstream.UnknownIncarnation, false, smallReply{status: http.StatusBadRequest, answer: rejected}, endcheck.Unclear},
		"another name":                  {upstream.UnknownIncarnation, false, smallReply{status: http.StatusOK, answer: Answer{Incarnation: "i-2"}}, endcheck.Replaced},
		"a report":                      {upstream.UnknownIncarnation, true, smallReply{status: http.StatusOK, body: []byte("1")}, endcheck.Same},
		"a report of its start":         {start, true, smallReply{status: http.StatusOK, body: []byte("1700000000000")}, endcheck.Same},
		"a report of a later start":     {start, true, smallReply{status: http.StatusOK, body: []byte("1700000000001")}, endcheck.Replaced},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newServerWithNode(t)
			s.options.Dialect, s.fleet.options.Dialect = startDialect{}, startDialect{}
			n := &node{incarnationID: incarnationID{name: "i-1", incarnation: test.started}}
			if got := s.fleet.identify(n, &test.reply, test.isReport); got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
		})
	}
}

// Guards against a part that counts as whole because the upstream's next start, which is known by its announcement,
// replies under the same name.
func TestReplyUnderTheNameOfAReplacedUpstreamProvesNothing(t *testing.T) {
	s, n := newServerWithNode(t)
	s.fleet.mu.Lock()
	s.fleet.retire(n)
	s.fleet.mu.Unlock()
	if got := s.fleet.identify(n, &smallReply{status: http.StatusOK}, false); got != endcheck.Replaced {
		t.Errorf("%s", got)
	}
}
