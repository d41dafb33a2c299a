package attachment

import (
	"slices"
	"strings"
	"time"

	"celeryport/membership"
)

// Roster holds the instances that are attached to a voter. It is not safe for concurrent
// use.
type Roster struct {
	retention time.Duration // an instance is removed after this long without a sync
	entries   map[string]*entry
}

// entry is an attached instance.
type entry struct {
	instance       membership.Instance
	receivedAt     time.Time
	minIncarnation uint64 // higher incarnation of the name that a leader knows, 0 if none
	acknowledged   bool   // a leader has acknowledged this incarnation
	needsFull      bool   // the leader may not know this incarnation and needs a full report
}

// Report is a voter's report to the leader about one attached instance.
type Report struct {
	Instance membership.Instance
	Full     bool          // the leader may lack the fields that never change
	Age      time.Duration // time since the instance reported
}

// NewRoster returns an empty roster. An instance is removed after the retention time without
// a sync.
func NewRoster(retention time.Duration) *Roster {
	return &Roster{retention: retention, entries: map[string]*entry{}}
}

// Record records an instance's report about itself. It rejects a report as stale if a higher
// incarnation of the name is known. The result urgent is true if the leader has to be
// informed at once, because the instance started, changed its state or applied an evacuation
// that an operator waits for.
func (r *Roster) Record(now time.Time, i membership.Instance) (verdict membership.Verdict, urgent bool) {
	known := r.entries[i.Name]
	if known != nil && i.Incarnation < max(known.instance.Incarnation, known.minIncarnation) {
		return membership.Stale, false
	}
	if known == nil || i.Incarnation > known.instance.Incarnation {
		r.entries[i.Name] = &entry{instance: i, receivedAt: now, needsFull: true}
		return membership.Accepted, true
	}
	urgent = known.instance.State != i.State || known.instance.Evacuated != i.Evacuated
	known.instance, known.receivedAt = i, now
	return membership.Accepted, urgent
}

// Known returns the attached instance with the given name.
func (r *Roster) Known(name string) (membership.Instance, bool) {
	if known, found := r.entries[name]; found {
		return known.instance, true
	}
	return membership.Instance{}, false
}

// Incarnation returns the highest known incarnation of a name, 0 if none.
func (r *Roster) Incarnation(name string) uint64 {
	if known, found := r.entries[name]; found {
		return max(known.instance.Incarnation, known.minIncarnation)
	}
	return 0
}

// Size returns the number of attached instances.
func (r *Roster) Size() int { return len(r.entries) }

// Reports returns the reports for the leader, sorted by name. Every sync reports all
// attached instances, because the leader considers an instance gone when no voter reports
// it.
func (r *Roster) Reports(now time.Time) []Report {
	r.expire(now)
	reports := make([]Report, 0, len(r.entries))
	for _, e := range r.entries {
		if e.instance.Incarnation >= e.minIncarnation {
			reports = append(reports, Report{Instance: e.instance, Full: e.needsFull, Age: now.Sub(e.receivedAt)})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return strings.Compare(a.Instance.Name, b.Instance.Name) })
	return reports
}

func (r *Roster) expire(now time.Time) {
	for name, e := range r.entries {
		if now.Sub(e.receivedAt) > r.retention {
			delete(r.entries, name)
		}
	}
}

// Acknowledge records that a leader has acknowledged a report.
func (r *Roster) Acknowledge(name string, incarnation uint64, state membership.State) {
	e, found := r.entries[name]
	if !found || e.instance.Incarnation != incarnation {
		return
	}
	e.acknowledged, e.needsFull = true, false
	if state == membership.Gone {
		delete(r.entries, name) // it left, and the leader knows
	}
}

// MarkUnknown records that the leader does not know an instance that was reported in brief
// form.
func (r *Roster) MarkUnknown(name string) {
	if e, found := r.entries[name]; found {
		e.needsFull = true
	}
}

// MarkSuperseded records that a leader knows a higher incarnation of a name.
func (r *Roster) MarkSuperseded(name string, incarnation uint64) {
	if e, found := r.entries[name]; found {
		e.minIncarnation = max(e.minIncarnation, incarnation)
	}
}

// Acknowledged reports whether a leader has acknowledged the current incarnation.
func (r *Roster) Acknowledged(name string) bool {
	e, found := r.entries[name]
	return found && e.acknowledged
}
