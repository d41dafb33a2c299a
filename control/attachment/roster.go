package attachment

import (
	"slices"
	"strings"
	"time"

	"celeryport/membership"
)

// Roster holds the instances that are attached to one voter. It is not safe for
// concurrent use.
type Roster struct {
	keep    time.Duration // how long a silent instance stays attached
	entries map[string]*entry
}

// entry is one attached instance.
type entry struct {
	instance membership.Instance
	heardAt  time.Time
	floor    uint64 // a leader knows this incarnation of the name, which is higher
	taken    bool   // a leader has taken this incarnation in
	unknown  bool   // the leader does not know it: it must be stated whole
}

// Statement is what a voter tells the leader of one attached instance.
type Statement struct {
	Instance membership.Instance
	Whole    bool          // the leader may not know what never changes of the instance
	Age      time.Duration // since the instance stated it
}

// NewRoster returns an empty roster that keeps silent instances for so long.
func NewRoster(keep time.Duration) *Roster {
	return &Roster{keep: keep, entries: map[string]*entry{}}
}

// Heard takes an instance's statement about itself, and reports whether it is news
// that the leader must hear at once: a start, or a change of the state.
func (r *Roster) Heard(now time.Time, i membership.Instance) (verdict membership.Verdict, news bool) {
	known := r.entries[i.Name]
	if known != nil && i.Incarnation < max(known.instance.Incarnation, known.floor) {
		return membership.Stale, false
	}
	if known == nil || i.Incarnation > known.instance.Incarnation {
		r.entries[i.Name] = &entry{instance: i, heardAt: now, unknown: true}
		return membership.Taken, true
	}
	news = known.instance.State != i.State
	known.instance, known.heardAt = i, now
	return membership.Taken, news
}

// Known returns the attached instance with the name.
func (r *Roster) Known(name string) (membership.Instance, bool) {
	if known, found := r.entries[name]; found {
		return known.instance, true
	}
	return membership.Instance{}, false
}

// Incarnation returns the highest known incarnation of a name, 0 if none.
func (r *Roster) Incarnation(name string) uint64 {
	if known, found := r.entries[name]; found {
		return max(known.instance.Incarnation, known.floor)
	}
	return 0
}

// Size returns how many instances are attached.
func (r *Roster) Size() int { return len(r.entries) }

// Statements returns what the leader is to be told, by name. Each sync states all
// attached instances, since the leader takes them for gone when nobody states them.
func (r *Roster) Statements(now time.Time) []Statement {
	r.expire(now)
	statements := make([]Statement, 0, len(r.entries))
	for _, e := range r.entries {
		if e.instance.Incarnation >= e.floor {
			statements = append(statements, Statement{Instance: e.instance, Whole: e.unknown, Age: now.Sub(e.heardAt)})
		}
	}
	slices.SortFunc(statements, func(a, b Statement) int { return strings.Compare(a.Instance.Name, b.Instance.Name) })
	return statements
}

func (r *Roster) expire(now time.Time) {
	for name, e := range r.entries {
		if now.Sub(e.heardAt) > r.keep {
			delete(r.entries, name)
		}
	}
}

// Taken notes that a leader has taken a statement in.
func (r *Roster) Taken(name string, incarnation uint64, state membership.State) {
	e, found := r.entries[name]
	if !found || e.instance.Incarnation != incarnation {
		return
	}
	e.taken, e.unknown = true, false
	if state == membership.Gone {
		delete(r.entries, name) // it said goodbye, and the leader knows
	}
}

// Unknown notes that the leader does not know an instance that was stated in brief.
func (r *Roster) Unknown(name string) {
	if e, found := r.entries[name]; found {
		e.unknown = true
	}
}

// Superseded notes that a leader knows a higher incarnation of a name.
func (r *Roster) Superseded(name string, incarnation uint64) {
	if e, found := r.entries[name]; found {
		e.floor = max(e.floor, incarnation)
	}
}

// IsTaken reports whether a leader has taken the present incarnation in.
func (r *Roster) IsTaken(name string) bool {
	e, found := r.entries[name]
	return found && e.taken
}
