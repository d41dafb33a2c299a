package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// report builds a report from all voters and those running instances that answer.
func (m *fleetModel) report(t *rapid.T, q Query) (*Report, map[ID]bool) {
	var dumps []*Dump
	for _, v := range m.voters {
		encoded, _ := encode(v)
		state, err := decodeState(encoded)
		if err != nil {
			t.Fatal(err)
		}
		dumps = append(dumps, &Dump{Store: state})
	}
	for _, a := range m.accounts {
		if rapid.Bool().Draw(t, "reached") {
			dumps = append(dumps, &Dump{Account: a.Snapshot(m.now, 0)})
		}
	}
	live := LiveOf(dumps)
	return NewReport(ReportInput{Query: q, Now: m.now, State: Combine(dumps), Live: live}), live
}

func (m *fleetModel) check(t *rapid.T) {
	report, live := m.report(t, Query{})
	checkBalance(t, report)
	var minimum, maximum Counters
	for i, a := range m.accounts {
		maximum.AddAll(&m.expected[i])
		if live[a.id] {
			minimum.AddAll(&m.expected[i])
		}
	}
	for _, counters := range m.expectedKilled {
		maximum.AddAll(&counters)
	}
	checkBetween(t, "received", report.Total.Received, minimum.Received(), maximum.Received())
	checkBetween(t, "served", report.Total.Served, minimum.Served(), maximum.Served())
	checkBetween(t, "refused", report.Total.Refused, minimum.Refused(), maximum.Refused())
	checkBetween(t, "failed", report.Total.Failed, minimum.Failed(), maximum.Failed())
	if missing := maximum.Received() - report.Total.Received; missing > 0 && len(report.Unknown) == 0 && len(live) == modelInstances {
		m.checkNeverCopied(t, report)
	}
	m.checkWindows(t)
	since, _ := m.report(t, Query{Since: m.now.Add(-10 * time.Minute)})
	checkBalance(t, since)
	if since.Total.CarriedIn < 0 || since.Total.Received > maximum.Received() {
		t.Fatalf("impossible window: %+v", since.Total)
	}
}

// checkWindows compares a report since the start of the test, which is built from
// the growth over time, with a report without Since, both from the same state.
func (m *fleetModel) checkWindows(t *rapid.T) {
	var dumps []*Dump
	for _, v := range m.voters {
		encoded, _ := encode(v)
		state, err := decodeState(encoded)
		if err != nil {
			t.Fatal(err)
		}
		dumps = append(dumps, &Dump{Store: state})
	}
	state := Combine(dumps)
	all := NewReport(ReportInput{Now: m.now, State: state})
	since := NewReport(ReportInput{Query: Query{Since: testStart}, Now: m.now, State: state})
	if since.Total.Received != all.Total.Received || since.Total.Served != all.Total.Served || since.Total.CarriedIn != 0 {
		t.Fatalf("over time %+v\nin all %+v", since.Total, all.Total)
	}
}

// checkNeverCopied ignores incarnations that were killed before any voter received a
// copy. Reports name these because the control group lists them, which is not part
// of this model.
func (m *fleetModel) checkNeverCopied(t *rapid.T, report *Report) {
	var known uint64
	for id, counters := range m.expectedKilled {
		if m.knownAnywhere(id) {
			known += counters.Received()
		}
	}
	for i := range m.accounts {
		known += m.expected[i].Received()
	}
	if report.Total.Received < known {
		t.Fatalf("the report shows %d of %d received requests and names no unknown instance", report.Total.Received, known)
	}
}

func (m *fleetModel) knownAnywhere(id ID) bool {
	for _, v := range m.voters {
		if v.Incarnations[id] != nil {
			return true
		}
	}
	return false
}

func checkBetween(t *rapid.T, name string, got, minimum, maximum uint64) {
	if got < minimum || got > maximum {
		t.Fatalf("%s: %d is not between %d and %d", name, got, minimum, maximum)
	}
}

func checkBalance(t *rapid.T, report *Report) {
	rows := append([]Row{report.Total}, report.Rows...)
	rows = append(rows, report.ByOrg...)
	rows = append(rows, report.ByClass...)
	for _, row := range append(rows, report.ByTarget...) {
		if !row.Balanced() || row.InFlight < 0 || row.Unknown < 0 {
			t.Fatalf("not balanced: %+v", row)
		}
	}
}

// Instances are killed and restarted, voters restart and lose their disks, and
// copies are lost, duplicated, delayed and reordered, in any sequence. The report
// must not count a request twice, omit one without naming an unknown instance, or
// have a row that does not balance.
func TestReportAddsUpUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"receive":      m.receive,
			"receive more": m.receive,
			"end":          m.end,
			"send":         m.send,
			"arrive":       m.arrive,
			"arrive again": m.arrive,
			"settle":       m.bringUpToDate,
			"kill":         m.kill,
			"restart":      m.restartVoter,
			"lose disk":    m.loseVoterDisk,
			"wait":         m.wait,
			"report":       m.check,
		})
		m.check(t)
	})
}
