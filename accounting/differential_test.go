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

// journalEntry records one request as observed by its caller and its upstream.
type journalEntry struct {
	request  *request.Request
	instance ledger.ID
	ended    string // outcome that the caller received, empty: none yet
	executed bool   // by the upstream

	copied    bool   // a voter has stored that the request was received
	copiedEnd string // outcome that a voter has stored
}

// journal records requests independently of the ledger, as observed outside of the
// fleet by callers and upstreams.
type journal struct {
	entries []*journalEntry
}

// tally counts the requests of one organisation and class in the journal.
type tally struct{ received, served, refused, failed, executed uint64 }

// tally counts the entries of an organisation and class, with the outcome that
// state returns for each entry.
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

// differential drives a fleet and a journal from one seeded random source.
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
		return // the connection broke before the caller received an outcome
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
		d.t.Fatal("no voter accepted a copy")
	}
	for _, e := range d.journal.entries {
		if e.instance == d.idOf(i) {
			e.copied, e.copiedEnd = true, e.ended
		}
	}
}

// killRandom kills a random instance, but never the last running voter: without any
// voter, no stored counters can be compared.
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
			d.t.Errorf("%v is running but reported as unknown", id)
		}
	}
	complete := len(report.MissingVoters) == 0
	for id := range d.killed {
		if complete && !unknown[id] {
			d.t.Errorf("%v was killed but is not reported as unknown", id)
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
			d.t.Errorf("%s %s: the report lacks requests and names no unknown instance", row.Organisation, row.Class)
		}
		if row.Served > all.executed {
			d.t.Errorf("%d served, upstreams executed %d", row.Served, all.executed)
		}
	}
}

// observed returns the outcome that the caller observed.
func observed(e *journalEntry) (received bool, ended string) { return true, e.ended }

// durable returns the minimum that the report has to contain: all requests of a
// running instance and, if all voters answer, those requests of a killed instance
// that were copied to a voter.
func (d *differential) durable(complete bool) func(e *journalEntry) (received bool, ended string) {
	return func(e *journalEntry) (received bool, ended string) {
		if d.running(e.instance) != nil {
			return true, e.ended
		}
		return complete && e.copied, e.copiedEnd
	}
}

func checkBetween(t *testing.T, name string, got, minimum, maximum uint64) {
	t.Helper()
	if got < minimum || got > maximum {
		t.Errorf("%s: %d is not between %d and %d", name, got, minimum, maximum)
	}
}

// Instances, including voters, are killed and restarted while requests run, and
// callers and upstreams keep an independent journal. Where the report differs from
// the journal, it must name the instance whose final counters are unknown; otherwise
// operators would act on wrong numbers, for example when billing.
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
