package loadshare

import "time"

// Reporter decides what an instance tells the others, and when. It is not safe for
// concurrent use.
type Reporter struct {
	id       Key
	sequence uint32
	reported map[Key]reported
	fullAt   time.Time
}

// NewReporter returns the reporter of one incarnation of an instance.
func NewReporter(id Key) *Reporter { return &Reporter{id: id, reported: map[Key]reported{}} }

// Restart has the next report tell all loads, to those that may not know the last ones.
func (t *Reporter) Restart() { t.fullAt = time.Time{} }

// Next returns the report that is due, given the present loads, or nil.
func (t *Reporter) Next(now time.Time, loads map[Key]Load) *Report {
	full := now.Sub(t.fullAt) >= FullInterval
	r := &Report{Sender: t.id, Full: full, Loads: map[Key]Load{}}
	for key, load := range loads {
		if full || !load.nearly(t.reported[key].now(now)) {
			r.Loads[key] = load
		}
	}
	for key, last := range t.reported {
		if _, still := loads[key]; !still && !full && last.now(now) != (Load{}) {
			r.Loads[key] = Load{}
		}
	}
	if !full && len(r.Loads) == 0 {
		return nil
	}
	if full {
		t.fullAt = now
		clear(t.reported)
	}
	t.note(now, r)
	t.sequence++
	r.Sequence = t.sequence
	return r
}

// note remembers what the others know from now on.
func (t *Reporter) note(now time.Time, r *Report) {
	for key, load := range r.Loads {
		if load == (Load{}) {
			delete(t.reported, key)
			continue
		}
		t.reported[key] = reported{load: load, at: now}
	}
}
