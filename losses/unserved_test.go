package losses

import (
	"math"
	"testing"
)

// Guards against counting a refused call that returns as several calls, or as not served when it
// was served at last, and against counting a late answer as none.
func TestCallsThatWereNotServedAtAll(t *testing.T) {
	table := tableOf(t,
		logAt(1, 7003, usualFields+`,"status":200,"first_ms":100`),
		logAt(2, 7003, usualFields+`,"status":200,"first_ms":9000`),                         // late
		logAt(3, 7002, usualFields+`,"status":503,"reason":"deadline"`),                     // returns at 5
		logAt(5, 7002, usualFields+`,"status":503,"reason":"deadline","age_ms":2000`),       // returns at 8
		logAt(8, 7003, usualFields+`,"status":200,"first_ms":100,"age_ms":5000`),            // served
		logAt(4, 7002, usualFields+`,"status":503,"reason":"no-upstream","sends":2`),        // never returns
		logAt(9, 7004, usualFields+`,"reason":"upstream","events":3`),                       // cut
		logAt(6, 7003, `,"route":"s","total_ms":5,"objective_ms":300,"status":200`),         // another route
		logAt(7, 7003, `,"route":"s","total_ms":5,"objective_ms":300,"status":200`),         //
		logAt(9, 7003, `,"route":"s","total_ms":5,"objective_ms":300,"status":200,"a":"b"`)) //
	if len(table.Unserved) != 3 {
		t.Fatalf("%+v", table.Unserved)
	}
	quiet, busy, all := &table.Unserved[0], &table.Unserved[1], &table.Unserved[2]
	if busy.Calls != 5 || busy.Count != 2 || busy.ByCause[NoUpstream] != 1 || busy.ByCause[Interrupted] != 1 || len(busy.Causes()) != 2 {
		t.Errorf("route with losses: %+v", busy)
	}
	if quiet.Calls != 3 || quiet.Count != 0 || !quiet.Nines.Bounded || quiet.Share() != 1 {
		t.Errorf("route without losses: %+v", quiet)
	}
	if all.Route != AllRoutes || all.Calls != 8 || all.Count != 2 || all.Share() != 0.75 {
		t.Errorf("all routes: %+v", all)
	}
}

// Guards against a log that begins after the refusal of a call which returns: counts must not
// become negative.
func TestReturnedCallWithoutItsRefusal(t *testing.T) {
	table := tableOf(t, logAt(8, 7003, usualFields+`,"status":200,"first_ms":100,"age_ms":5000`))
	if u := &table.Unserved[0]; u.Calls != 1 || u.Count != 0 {
		t.Errorf("%+v", u)
	}
}

// Guards against infinite values and against a claim of more nines than the calls can show.
func TestNinesOfFewCalls(t *testing.T) {
	for _, test := range []struct {
		calls, unserved int
		want            string
	}{{0, 0, ">0.00"}, {1000, 0, ">3.00"}, {1000, 1, "3.00"}, {1000, 10, "2.00"}, {3, 3, "0.00"}, {2, 5, "0.00"}} {
		n := NinesOf(test.calls, test.unserved)
		if got := n.String(); got != test.want || math.IsInf(n.Value, 0) {
			t.Errorf("%d of %d calls lost: %s, want %s", test.unserved, test.calls, got, test.want)
		}
	}
}
