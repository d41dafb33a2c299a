package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// report asks the voters and the running instances, some of which don't answer.
func (m *fleetModel) report(t *rapid.T, q Query) (*Report, map[ID]bool) {
	var dumps []*Dump
	for _, v := range m.voters {
		encoded, _ := encode(v)
		state, err := decodeState(encoded)
		if err != nil {
			t.Fatal(err)
		}
		dumps = append(dumps, &Dump{Book: state})
	}
	for _, a := range m.accounts {
		if rapid.Bool().Draw(t, "reached") {
			dumps = append(dumps, &Dump{Own: a.Take(m.now, 0)})
		}
	}
	live := LiveOf(dumps)
	return NewReport(ReportInput{Query: q, Now: m.now, State: Combine(dumps), Live: live}), live
}

func (m *fleetModel) check(t *rapid.T) {
	report, live := m.report(t, Query{})
	checkBalance(t, report)
	var least, most Counters
	for i, a := range m.accounts {
		most.AddAll(&m.truth[i])
		if live[a.id] {
			least.AddAll(&m.truth[i])
		}
	}
	for _, counters := range m.copied {
		most.AddAll(&counters)
	}
	checkBetween(t, "received", report.Total.Received, least.Received(), most.Received())
	checkBetween(t, "served", report.Total.Served, least.Served(), most.Served())
	checkBetween(t, "refused", report.Total.Refused, least.Refused(), most.Refused())
	checkBetween(t, "failed", report.Total.Failed, least.Failed(), most.Failed())
	if missing := most.Received() - report.Total.Received; missing > 0 && len(report.Unknown) == 0 && len(live) == modelInstances {
		m.checkNeverCopied(t, report)
	}
	m.checkWindows(t)
	since, _ := m.report(t, Query{Since: m.now.Add(-10 * time.Minute)})
	checkBalance(t, since)
	if since.Total.CarriedIn < 0 || since.Total.Received > most.Received() {
		t.Fatalf("impossible window: %+v", since.Total)
	}
}

// checkWindows compares a report since the beginning, which is made from
// the growth over time, with one over everything, of one state.
func (m *fleetModel) checkWindows(t *rapid.T) {
	var dumps []*Dump
	for _, v := range m.voters {
		encoded, _ := encode(v)
		state, err := decodeState(encoded)
		if err != nil {
			t.Fatal(err)
		}
		dumps = append(dumps, &Dump{Book: state})
	}
	state := Combine(dumps)
	all := NewReport(ReportInput{Now: m.now, State: state})
	since := NewReport(ReportInput{Query: Query{Since: testStart}, Now: m.now, State: state})
	if since.Total.Received != all.Total.Received || since.Total.Served != all.Total.Served || since.Total.CarriedIn != 0 {
		t.Fatalf("over time %+v\nin all %+v", since.Total, all.Total)
	}
}

// checkNeverCopied allows for incarnations that died before any copy arrived
// anywhere; the control group lists those, which this model leaves out.
func (m *fleetModel) checkNeverCopied(t *rapid.T, report *Report) {
	var known uint64
	for id, counters := range m.copied {
		if m.knownAnywhere(id) {
			known += counters.Received()
		}
	}
	for i := range m.accounts {
		known += m.truth[i].Received()
	}
	if report.Total.Received < known {
		t.Fatalf("%d of %d received and nothing unknown", report.Total.Received, known)
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

func checkBetween(t *rapid.T, what string, got, least, most uint64) {
	if got < least || got > most {
		t.Fatalf("%s: %d is not from %d to %d", what, got, least, most)
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
// copies are lost, doubled, late and out of order, in any order. A user of the
// report would notice requests that are counted twice, that vanish without being
// called unknown, or a row that doesn't add up.
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
			"settle":       m.settle,
			"kill":         m.kill,
			"restart":      m.restartVoter,
			"lose disk":    m.loseVoter,
			"wait":         m.wait,
			"report":       m.check,
		})
		m.check(t)
	})
}
