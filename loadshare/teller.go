package loadshare

import "time"

// Teller decides what an instance tells the others, and when. It is not safe for
// concurrent use.
type Teller struct {
	id       Key
	sequence uint32
	told     map[Key]told
	fullAt   time.Time
}

// NewTeller returns the teller of one incarnation of an instance.
func NewTeller(id Key) *Teller { return &Teller{id: id, told: map[Key]told{}} }

// Restart has the next report tell all loads, to those that may not know the last ones.
func (t *Teller) Restart() { t.fullAt = time.Time{} }

// Next returns the report that is due, given the present loads, or nil.
func (t *Teller) Next(now time.Time, loads map[Key]Load) *Report {
	full := now.Sub(t.fullAt) >= FullInterval
	r := &Report{Sender: t.id, Full: full, Loads: map[Key]Load{}}
	for key, load := range loads {
		if full || !load.nearly(t.told[key].now(now)) {
			r.Loads[key] = load
		}
	}
	for key, last := range t.told {
		if _, still := loads[key]; !still && !full && last.now(now) != (Load{}) {
			r.Loads[key] = Load{}
		}
	}
	if !full && len(r.Loads) == 0 {
		return nil
	}
	if full {
		t.fullAt = now
		clear(t.told)
	}
	t.note(now, r)
	t.sequence++
	r.Sequence = t.sequence
	return r
}

// note remembers what the others know from now on.
func (t *Teller) note(now time.Time, r *Report) {
	for key, load := range r.Loads {
		if load == (Load{}) {
			delete(t.told, key)
			continue
		}
		t.told[key] = told{load: load, at: now}
	}
}
