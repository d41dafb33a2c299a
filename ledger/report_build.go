package ledger

import (
	"slices"
	"time"
)

// NewReport builds a report from its input alone. It trims the state of the input
// in place.
func NewReport(in ReportInput) *Report {
	in.State.Trim(in.Now)
	totals := collect(&in)
	report := &Report{At: in.Now, MissingVoters: in.MissingVoters}
	latencies := totals
	if in.Query.Since.IsZero() {
		report.DroppedUpTo = in.State.DroppedUpTo
	} else {
		latencies = restrictToPeriod(&in, totals, report)
	}
	fillRows(report, totals)
	fillLatencies(report, latencies)
	report.Unknown = unknownEnds(&in)
	return report
}

// tally is the sum over one series or a group of series.
type tally struct {
	counters  Counters
	inFlight  int64
	unknown   int64
	carriedIn int64
}

func (t *tally) addAll(other *tally) {
	t.counters.AddAll(&other.counters)
	t.inFlight += other.inFlight
	t.unknown += other.unknown
	t.carriedIn += other.carriedIn
}

type tallies map[Series]*tally

func (t tallies) get(name Series) *tally {
	if t[name] == nil {
		t[name] = &tally{}
	}
	return t[name]
}

// collect sums the accounts of all incarnations.
func collect(in *ReportInput) tallies {
	all := tallies{}
	for id, inc := range in.State.Incarnations {
		for name, counters := range inc.Series {
			if !in.Query.matches(name) {
				continue
			}
			t := all.get(name)
			t.counters.AddAll(counters)
			if in.Live[id] {
				t.inFlight += counters.InFlight()
			} else {
				t.unknown += counters.InFlight()
			}
		}
	}
	return all
}

// restrictToPeriod replaces the counts by those since the start of the report. The
// number of requests in flight at the start follows from the equation of Report.
// It returns the latencies of the period, which may start earlier than the counts
// because latencies are stored only by the hour and by the day.
func restrictToPeriod(in *ReportInput, totals tallies, report *Report) tallies {
	growth, start := in.State.Windows.Since(in.Query.Since, in.Now)
	latencies, latencyStart := in.State.Windows.LatenciesSince(in.Query.Since, in.Now)
	report.Since, report.LatencySince = start, latencyStart
	report.Unplaced = addLumps(in, start, growth, latencies)
	for name, t := range totals {
		t.counters = Counters{}
		if grown := growth[name]; grown != nil {
			t.counters = grown.withoutBins()
		}
		t.carriedIn = t.inFlight + t.unknown + int64(t.counters.Ended()) - int64(t.counters.Received())
	}
	return tallyCounters(in, latencies)
}

// addLumps adds the lumps that lie entirely after the start and returns those that
// span it.
func addLumps(in *ReportInput, start time.Time, growth, latencies map[Series]*Counters) []Unplaced {
	var unplaced []Unplaced
	for _, lump := range in.State.Lumps {
		switch {
		case lump.At.Before(start):
		case lump.From.Before(start):
			unplaced = append(unplaced, lump.unplaced(&in.Query))
		default:
			for name, counters := range lump.Series {
				cell(growth).add(name, counters)
				cell(latencies).add(name, counters)
			}
		}
	}
	return unplaced
}

func (l *Lump) unplaced(q *Query) Unplaced {
	u := Unplaced{From: l.From, To: l.At}
	for name, counters := range l.Series {
		if q.matches(name) {
			u.Received += counters.Received()
		}
	}
	return u
}

func tallyCounters(in *ReportInput, counters map[Series]*Counters) tallies {
	all := tallies{}
	for name, c := range counters {
		if in.Query.matches(name) {
			all.get(name).counters.AddAll(c)
		}
	}
	return all
}

func fillRows(report *Report, all tallies) {
	report.Rows = group(all, func(s Series) Series { return s })
	report.ByOrg = group(all, func(s Series) Series { return Series{Organisation: s.Organisation} })
	report.ByClass = group(all, func(s Series) Series { return Series{Class: s.Class} })
	report.ByTarget = group(all, func(s Series) Series { return Series{Kind: s.Kind, Target: s.Target} })
	var total tally
	for _, t := range all {
		total.addAll(t)
	}
	report.Total = newRow(Series{}, &total)
}

// group sums the series that map to the same key. Rows are ordered by key.
func group(all tallies, key func(Series) Series) []Row {
	grouped := tallies{}
	for name, t := range all {
		grouped.get(key(name)).addAll(t)
	}
	rows := make([]Row, 0, len(grouped))
	for _, name := range sortedNames(grouped) {
		rows = append(rows, newRow(name, grouped[name]))
	}
	return rows
}

func sortedNames(all tallies) []Series {
	names := make([]Series, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.SortFunc(names, Series.Compare)
	return names
}

// fillLatencies adds the latencies by class, by organisation, and by both.
func fillLatencies(report *Report, all tallies) {
	keys := []func(Series) Series{
		func(s Series) Series { return Series{Class: s.Class} },
		func(s Series) Series { return Series{Organisation: s.Organisation} },
		func(s Series) Series { return Series{Organisation: s.Organisation, Class: s.Class} },
	}
	for _, key := range keys {
		grouped := tallies{}
		for name, t := range all {
			grouped.get(key(name)).addAll(t)
		}
		for _, name := range sortedNames(grouped) {
			for _, l := range grouped[name].counters.latencies() {
				l.Organisation, l.Class = name.Organisation, name.Class
				report.Latencies = append(report.Latencies, l)
			}
		}
	}
}
