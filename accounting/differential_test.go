package accounting

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"celeryport/ledger"
	"celeryport/request"
	"celeryport/verdict"
)

// entry is one request as its caller and its upstream saw it.
type journalEntry struct {
	request  *request.Request
	instance ledger.ID
	ended    string // what the caller was told, empty: nothing yet
	executed bool   // by the upstream

	copied    bool   // its receipt is on the disk of a voter
	copiedEnd string // and this end
}

// journal is kept apart from the ledger, by those outside of the fleet.
type journal struct {
	entries []*journalEntry
}

// tally is what the journal has for an organisation and class.
type tally struct{ received, served, refused, failed, executed uint64 }

// tally adds up what a state says of each entry.
func (j *journal) tally(organisation, class string, state func(*journalEntry) (received bool, ended string)) tally {
	var t tally
	for _, e := range j.entries {
		received, ended := state(e)
		if e.request.Organisation != organisation || e.request.Class != class || !received {
			continue
		}
		t.received++
		if e.executed {
			t.executed++
		}
		switch ended {
		case "served":
			t.served++
		case "refused":
			t.refused++
		case "failed":
			t.failed++
		}
	}
	return t
}

// differential drives a fleet and a journal by one seeded source.
type differential struct {
	t       *testing.T
	random  *rand.Rand
	fleet   *testFleet
	journal journal
	open    []*journalEntry
	killed  map[ledger.ID]bool
}

func (d *differential) idOf(i *testInstance) ledger.ID {
	return ledger.ID{Instance: i.name, Incarnation: i.incarnation}
}

func (d *differential) pickRunning() *testInstance {
	up := d.fleet.instances[:0:0]
	for _, i := range d.fleet.instances {
		if i.up {
			up = append(up, i)
		}
	}
	return up[d.random.IntN(len(up))]
}

func (d *differential) receive() {
	i := d.pickRunning()
	r := &request.Request{
		ID:           fmt.Sprint("request-", len(d.journal.entries)),
		Organisation: []string{"atelier", "archivio"}[d.random.IntN(2)],
		Class:        []string{"counter", "hold"}[d.random.IntN(2)],
		Target:       "sarto",
	}
	e := &journalEntry{request: r, instance: d.idOf(i)}
	d.journal.entries = append(d.journal.entries, e)
	d.open = append(d.open, e)
	i.account.Received(r)
}

// end ends one open request, if its instance still runs.
func (d *differential) end() {
	if len(d.open) == 0 {
		return
	}
	n := d.random.IntN(len(d.open))
	e := d.open[n]
	d.open = append(d.open[:n], d.open[n+1:]...)
	i := d.running(e.instance)
	if i == nil {
		return // the caller's connection broke, and it was told nothing
	}
	switch d.random.IntN(3) {
	case 0:
		e.ended = "refused"
		i.account.Refused(e.request, verdict.ReasonShare)
	case 1:
		e.ended, e.executed = "failed", d.random.IntN(2) == 0
		i.account.Failed(e.request, verdict.ReasonUpstream, verdict.MayHaveRun)
	default:
		e.ended, e.executed = "served", true
		i.account.Served(e.request, ledger.Served{PromptTokens: 900, AnswerTokens: 3, InTime: true})
	}
}

func (d *differential) running(id ledger.ID) *testInstance {
	for _, i := range d.fleet.instances {
		if i.up && d.idOf(i) == id {
			return i
		}
	}
	return nil
}

func (d *differential) flush() {
	i := d.pickRunning()
	if i.copier.Flush(context.Background()) == 0 {
		d.t.Fatal("no voter has taken a copy")
	}
	for _, e := range d.journal.entries {
		if e.instance == d.idOf(i) {
			e.copied, e.copiedEnd = true, e.ended
		}
	}
}

// killOne keeps one voter running: with all disks out of reach nobody can tell.
func (d *differential) killRandom() {
	i := d.pickRunning()
	voters := 0
	for _, other := range d.fleet.instances {
		if other.up && other.voter {
			voters++
		}
	}
	if i.voter && voters == 1 {
		return
	}
	d.killed[d.idOf(i)] = true
	i.kill()
}

func (d *differential) restart() {
	for _, i := range d.fleet.instances {
		if !i.up {
			i.start(d.t)
			return
		}
	}
}

func (d *differential) step() {
	d.fleet.now = d.fleet.now.Add(time.Duration(d.random.IntN(5000)) * time.Millisecond)
	switch n := d.random.IntN(100); {
	case n < 45:
		d.receive()
	case n < 85:
		d.end()
	case n < 95:
		d.flush()
	case n < 97:
		d.killRandom()
	default:
		d.restart()
	}
}

func (d *differential) compare() {
	report := d.pickRunning().reporter.Report(context.Background(), ledger.Query{})
	unknown := map[ledger.ID]bool{}
	for _, u := range report.Unknown {
		id := ledger.ID{Instance: u.Instance, Incarnation: u.Incarnation}
		unknown[id] = true
		if d.running(id) != nil {
			d.t.Errorf("%v runs and is called unknown", id)
		}
	}
	complete := len(report.MissingBooks) == 0
	for id := range d.killed {
		if complete && !unknown[id] {
			d.t.Errorf("%v was killed and is not called unknown", id)
		}
	}
	for _, row := range report.Rows {
		all := d.journal.tally(row.Organisation, row.Class, observed)
		lower := d.journal.tally(row.Organisation, row.Class, d.durable(complete))
		if !row.Balanced() {
			d.t.Errorf("not balanced: %+v", row)
		}
		checkBetween(d.t, "received", row.Received, lower.received, all.received)
		checkBetween(d.t, "served", row.Served, lower.served, all.served)
		checkBetween(d.t, "refused", row.Refused, lower.refused, all.refused)
		checkBetween(d.t, "failed", row.Failed, lower.failed, all.failed)
		if complete && len(unknown) == 0 && all != lower {
			d.t.Errorf("%s %s: the report lacks something and says nothing of it", row.Organisation, row.Class)
		}
		if row.Served > all.executed {
			d.t.Errorf("%d served, upstreams executed %d", row.Served, all.executed)
		}
	}
}

// seen is what callers saw.
func observed(e *journalEntry) (received bool, ended string) { return true, e.ended }

// known is the least that the report has to hold: everything of an instance that
// runs, and of a killed one what a voter had taken, if all voters answer.
func (d *differential) durable(complete bool) func(e *journalEntry) (received bool, ended string) {
	return func(e *journalEntry) (received bool, ended string) {
		if d.running(e.instance) != nil {
			return true, e.ended
		}
		return complete && e.copied, e.copiedEnd
	}
}

func checkBetween(t *testing.T, what string, got, minimum, maximum uint64) {
	t.Helper()
	if got < minimum || got > maximum {
		t.Errorf("%s: %d is not from %d to %d", what, got, minimum, maximum)
	}
}

// Instances, voters among them, are killed and restarted while requests run, and
// callers and upstreams keep a journal of their own. Where the report differs
// from the journal it must name the instance of which it doesn't know the end;
// otherwise an operator would bill or blame by wrong numbers.
func TestReportMatchesTheJournalOrNamesUnknownInstances(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			d := &differential{
				t:      t,
				random: rand.New(rand.NewPCG(seed, 1)),
				fleet:  newFleetOf(t, 3, 3),
				killed: map[ledger.ID]bool{},
			}
			for n := range 600 {
				d.step()
				if n%20 == 0 {
					d.compare()
				}
			}
			d.compare()
		})
	}
}
