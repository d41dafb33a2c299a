package transit

import (
	"testing"
	"time"

	"celeryport/failover"
)

// Guards against a service that counts as down because no other instance was reached, and against one
// that counts as served nowhere although one instance serves it.
func TestFindingTellsThreeResultsApart(t *testing.T) {
	for _, test := range []struct {
		replies []Reply
		want    Others
	}{
		{nil, OthersUnknown},
		{[]Reply{NotReached, NotReached}, OthersUnknown},
		{[]Reply{NotReached, ReachesNone}, OthersReachNone},
		{[]Reply{ReachesNone, NotReached}, OthersReachNone},
		{[]Reply{ReachesNone, Serves, NotReached}, OthersServe},
		{[]Reply{Serves, ReachesNone}, OthersServe},
		{[]Reply{ReachesNone, ReportsEnd, NotReached}, OthersReportEnd},
		{[]Reply{ReportsEnd, ReachesNone}, OthersReportEnd},
		{[]Reply{ReportsEnd, Serves}, OthersServe},
	} {
		var f Finding
		for i, r := range test.replies {
			f.add(string(rune('a'+i)), r)
		}
		if f.Others != test.want || (f.By != "") != (test.want == OthersServe) || f.Asked != len(test.replies) {
			t.Errorf("%v: %+v", test.replies, f)
		}
	}
}

// Guards against waiting for instances that have replied, and for longer than a sound one may be silent.
func TestSilentInstancesMayServe(t *testing.T) {
	for _, test := range []struct {
		replies []Reply
		want    bool
	}{
		{nil, false}, {[]Reply{NotReached}, false}, {[]Reply{Silent, NotReached}, true}, {[]Reply{Silent, ReachesNone}, false}, {[]Reply{Serves, Silent}, false},
	} {
		var f Finding
		for _, r := range test.replies {
			f.add("a", r)
		}
		if f.MayServe() != test.want {
			t.Errorf("%v: %+v", test.replies, f)
		}
	}
	begin, silent, s := time.Unix(1, 0), Finding{Silent: 1}, NewSurvey()
	for _, record := range []struct {
		at      time.Duration
		finding Finding
		since   time.Duration
	}{
		{0, silent, 0},
		{failover.MaxSoundSilence - 1, silent, 0},
		{2*failover.MaxSoundSilence - 2, silent, 0},
		{3*failover.MaxSoundSilence - 2, silent, 3*failover.MaxSoundSilence - 2}, // it may have replied in between
		{3 * failover.MaxSoundSilence, Finding{Others: OthersServe}, 0},
		{3*failover.MaxSoundSilence + 1, silent, 3*failover.MaxSoundSilence + 1},
	} {
		s.Record(begin.Add(record.at), "a", record.finding)
		if f, _ := s.Finding(begin.Add(record.at), "a"); f.MayServe() && !f.SilentSince.Equal(begin.Add(record.since)) {
			t.Errorf("at %s silent since %s, want %s", record.at, f.SilentSince.Sub(begin), record.since)
		}
	}
}

// Guards against silent calls each of which asks the other instances, and against old replies.
func TestManySilentCallsAskOnce(t *testing.T) {
	now, s := time.Unix(1, 0), NewSurvey()
	if _, known := s.Finding(now, "a"); known || !s.Begin(now, "a") || s.Begin(now, "a") || !s.Begin(now, "b") {
		t.Error("not asked once for each service")
	}
	if !s.Record(now, "a", Finding{Others: OthersReachNone}) || s.Record(now, "a", Finding{Others: OthersReachNone}) {
		t.Error("a change is not told from the same finding")
	}
	if f, known := s.Finding(now.Add(FindingRetention-1), "a"); !known || f.Others != OthersReachNone || s.Begin(now.Add(FindingRetention-1), "a") {
		t.Errorf("the finding is forgotten early: %+v", f)
	}
	if _, known := s.Finding(now.Add(FindingRetention), "a"); known || !s.Begin(now.Add(FindingRetention), "a") {
		t.Error("an old finding counts")
	}
	s.Record(now, "b", Finding{})
	if s.Begin(now.Add(surveyRetention), "c"); s.services["b"] != nil {
		t.Error("old findings are kept")
	}
}
