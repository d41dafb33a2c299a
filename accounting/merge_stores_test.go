package accounting

import (
	"context"
	"testing"
	"time"

	"celeryport/ledger"
	"celeryport/request"
)

func countServed(f *testFleet, i *testInstance, n int) {
	for k := range n {
		r := &request.Request{ID: i.name + string(rune('a'+k)), Organisation: "atelier", Class: "counter", Target: "sarto"}
		i.account.Received(r)
		i.account.Served(r, ledger.Served{PromptTokens: 900, AnswerTokens: 3, InTime: true, FirstToken: time.Second})
	}
	f.now = f.now.Add(time.Second)
	i.copier.Flush(context.Background())
}

// An entry instance ends permanently, then a voter loses its disk and is replaced,
// and immediately after that the other two voters are lost. If the replaced voter
// had not merged the other voters' counters, the report would omit the entry
// instance without listing it as unknown.
func TestReportSurvivesASecondLossRightAfterARepair(t *testing.T) {
	f := newFleetOf(t, 3, 1)
	ended := f.instances[3]
	countServed(f, ended, 20)
	ended.account.Close()
	ended.copier.Flush(context.Background())
	ended.kill()

	repaired := f.instances[0]
	repaired.kill()
	repaired.folder = f.folder()
	f.now = f.now.Add(time.Hour)
	repaired.start(t)
	if !repaired.reporter.MergeStores(context.Background()) {
		t.Fatal("the other voters did not answer")
	}
	f.instances[1].kill()
	f.instances[2].kill()
	repaired.kill()
	repaired.start(t)

	report := repaired.reporter.Report(context.Background(), ledger.Query{})
	if report.Total.Served != 20 {
		t.Errorf("%d of 20 served", report.Total.Served)
	}
	recent := repaired.reporter.Report(context.Background(), ledger.Query{Since: f.now.Add(-10 * time.Minute)})
	if recent.Total.Served != 0 || len(recent.Unplaced) != 0 {
		t.Errorf("requests of an hour ago are reported as recent: %+v", recent.Total)
	}
}

func TestMergingStoresIsIdempotent(t *testing.T) {
	f := newFleetOf(t, 3, 1)
	countServed(f, f.instances[3], 5)
	f.now = f.now.Add(time.Hour)
	for range 3 {
		for _, voter := range f.instances[:3] {
			voter.reporter.MergeStores(context.Background())
		}
	}
	report := f.instances[1].reporter.Report(context.Background(), ledger.Query{})
	if report.Total.Received != 5 || report.Total.Served != 5 {
		t.Errorf("%+v", report.Total)
	}
}

// All processes restart while two of three voters stay down, so there is no control
// group that lists instances. The report of the remaining voter must name the
// missing voters instead of presenting its own counters as complete.
func TestReportWithoutAControlGroupNamesTheMissingVoters(t *testing.T) {
	f := newFleetOf(t, 3, 1)
	countServed(f, f.instances[3], 5)
	f.stop()
	f.emptyView = true
	f.instances[0].start(t)
	report := f.instances[0].reporter.Report(context.Background(), ledger.Query{})
	if len(report.MissingVoters) != 2 || report.Total.Served != 5 {
		t.Errorf("missing %v, served %d", report.MissingVoters, report.Total.Served)
	}
	f.instances[1].start(t)
	report = f.instances[0].reporter.Report(context.Background(), ledger.Query{})
	if len(report.MissingVoters) != 1 {
		t.Errorf("missing %v after one voter restarted", report.MissingVoters)
	}
}
