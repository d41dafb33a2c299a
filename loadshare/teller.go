package loadshare

import "time"

// Teller decides what an instance tells the others, and when. It is not safe for
// concurrent use.
type Teller struct {
	id       Key
	sequence uint32
	told     map[Key]Load
	fullAt   time.Time
}

// NewTeller returns the teller of one incarnation of an instance.
func NewTeller(id Key) *Teller { return &Teller{id: id, told: map[Key]Load{}} }

// Next returns the report that is due, given the present loads, or nil.
func (t *Teller) Next(now time.Time, loads map[Key]Load) *Report {
	full := now.Sub(t.fullAt) >= FullInterval
	r := &Report{Sender: t.id, Full: full, Loads: map[Key]Load{}}
	for key, load := range loads {
		if full || t.told[key] != load {
			r.Loads[key] = load
		}
	}
	for key := range t.told {
		if _, still := loads[key]; !still && !full {
			r.Loads[key] = Load{}
		}
	}
	if !full && len(r.Loads) == 0 {
		return nil
	}
	if full {
		t.fullAt = now
	}
	t.told = loads
	t.sequence++
	r.Sequence = t.sequence
	return r
}
