package losses

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"celeryport/explain"
	"celeryport/settings"
)

// logAt returns a log line with an event at a second.
func logAt(second float64, event int, fields string) string {
	at := time.Date(2026, 1, 1, 10, 0, 0, 0, time.UTC).Add(time.Duration(second * float64(time.Second)))
	return fmt.Sprintf(`front-1 {"event":%d,"instance":"front-1","time":%q%s}`+"\n", event, at.Format(time.RFC3339Nano), fields)
}

const usualFields = `,"route":"r","objective_ms":300,"pause_limit_ms":250,"prompt":5000,"answer":1000,"total_ms":100`

func linesOf(t *testing.T, lines ...string) []explain.Line {
	t.Helper()
	read, skipped, err := explain.Read(strings.NewReader(strings.Join(lines, "")))
	if err != nil || skipped > 0 {
		t.Fatalf("%d lines skipped, %v", skipped, err)
	}
	return read
}

func tableOf(t *testing.T, lines ...string) Table {
	t.Helper()
	return TableOf(linesOf(t, lines...))
}

func TestLossesAreAttributedToCauses(t *testing.T) {
	// Late, interrupted and missing answers must be attributed to their causes, since
	// these call for different measures, such as more engines or a network repair.
	tests := map[Cause]string{
		None:           logAt(1, 7003, usualFields+`,"status":200,"first_ms":300,"pause_ms":250`),
		Refused:        logAt(1, 7002, usualFields+`,"status":503,"reason":"deadline"`),
		RefusedAgain:   logAt(1, 7002, usualFields+`,"status":503,"reason":"deadline","age_ms":900`),
		NoUpstream:     logAt(1, 7002, usualFields+`,"status":503,"reason":"no-upstream"`),
		NoHelper:       logAt(1, 7002, usualFields+`,"status":503,"reason":"no-upstream","rejections":2`),
		UpstreamFault:  logAt(1, 7004, usualFields+`,"status":502,"reason":"upstream"`),
		Interrupted:    logAt(1, 7004, usualFields+`,"reason":"upstream","events":3`),
		CallerLeft:     logAt(1, 7005, usualFields),
		FirstEventLate: logAt(1, 7003, usualFields+`,"status":200,"first_ms":301`),
		RetryLate:      logAt(1, 7003, usualFields+`,"status":200,"first_ms":100,"age_ms":250`),
		PauseTooLong:   logAt(1, 7003, usualFields+`,"status":200,"first_ms":100,"pause_ms":251`),
	}
	for cause, line := range tests {
		table := tableOf(t, line)
		if cause == None {
			if len(table.Rows) != 0 || table.Routes[0].Lost != 0 {
				t.Errorf("an answer in time is counted as lost: %+v", table.Rows)
			}
			continue
		}
		if len(table.Rows) != 1 || table.Rows[0].Cause != cause || table.Rows[0].Lost != cause.lostFraction() {
			t.Errorf("%s: rows %+v", cause, table.Rows)
		}
	}
}

func TestIntendedRefusalsAreNotLosses(t *testing.T) {
	// Refusals of calls with revoked keys, or with paths that match no route, are intended
	// and must not count as losses.
	table := tableOf(t,
		logAt(1, 7002, usualFields+`,"status":401,"reason":"unauthorised"`),
		logAt(1, 7002, `,"status":404,"reason":"not-found","total_ms":0`))
	if len(table.Routes) != 0 || len(table.Rows) != 0 {
		t.Errorf("%+v", table)
	}
}

func TestLossesAreAttributedToMoments(t *testing.T) {
	// An instance restarts at 20 s, an engine is suspected at 30 s, and long prompts start
	// at 40 s. Losses must be attributed to these incidents.
	var lines []string
	for second := range 60 {
		for range 4 {
			lines = append(lines, logAt(float64(second), 7003, usualFields+`,"status":200,"first_ms":100`))
		}
		if second >= 40 {
			lines = append(lines, logAt(float64(second), 7003, strings.Replace(usualFields, "5000", "90000", 1)+`,"status":200,"first_ms":100`))
		}
	}
	started := func(second float64, instance string) string {
		return strings.ReplaceAll(logAt(second, 1100, ""), "front-1", instance)
	}
	for i := range 5 {
		lines = append(lines, started(0, fmt.Sprint("front-", i)))
	}
	lines = append(lines, started(20, "front-2"), logAt(30, 7007, `,"upstream":"e1"`))
	for second, want := range map[float64]Moment{10: Calm, 20.5: InstanceLost, 30.5: EngineLost, 41.5: MixChange, 55: Burst} {
		table := tableOf(t, append(lines, logAt(second, 7002, usualFields+`,"status":503,"reason":"deadline"`))...)
		if len(table.Rows) != 1 || table.Rows[0].ByMoment[want] == 0 {
			t.Errorf("at %g s: %+v, want the loss at %q", second, table.Rows, want)
		}
	}
}

func TestEmptyLogsHaveNoLosses(t *testing.T) {
	if table := TableOf(nil); len(table.Routes) != 0 || len(table.Rows) != 0 {
		t.Errorf("%+v", table)
	}
}

func TestReachIsBoundedByEngineTime(t *testing.T) {
	// Two prompts of three engine seconds each arrive at once at two engines, with an
	// objective of two seconds: the four engine seconds suffice for one prompt and a third
	// of the other.
	profile := &settings.EngineProfile{PrefillRate: 1000, Slots: 1}
	prompt := `,"route":"long","objective_ms":1900,"pause_limit_ms":1000,"prompt":3000,"engines":2,"total_ms":0`
	reach := ReachOf(linesOf(t,
		logAt(1, 7003, prompt+`,"status":200,"first_ms":1500`),
		logAt(1, 7002, prompt+`,"status":503,"reason":"deadline"`),
		logAt(1.5, 7002, prompt+`,"status":503,"reason":"deadline","age_ms":500`)), profile)
	if len(reach) != 1 || reach[0].Calls != 2 || reach[0].Reached != 0.5 {
		t.Fatalf("%+v", reach)
	}
	if got := reach[0].Reachable; math.Abs(got-4./6) > 1e-9 {
		t.Errorf("reachable %g, want 4 of 6 engine seconds", got)
	}
	if ReachOf(nil, profile) != nil {
		t.Error("want no routes for empty logs")
	}
}
