package loadshare

import "time"

// Reporter decides what an instance reports to the others, and when. It is not safe for
// concurrent use.
type Reporter struct {
	id       Key
	sequence uint32
	reported map[Key]reported
	fullAt   time.Time
}

// NewReporter returns the reporter of one incarnation of an instance.
func NewReporter(id Key) *Reporter { return &Reporter{id: id, reported: map[Key]reported{}} }

// Restart makes the next report a full one, for receivers that may not have the previous
// reports.
func (t *Reporter) Restart() { t.fullAt = time.Time{} }

// Next returns the report that is due for the current loads, or nil. An instance without loads
// reports nothing unless heartbeat is set; what it reported before expires by itself.
func (t *Reporter) Next(now time.Time, loads map[Key]Load, heartbeat bool) *Report {
	full := now.Sub(t.fullAt) >= FullInterval
	if len(loads) == 0 && len(t.reported) == 0 && !heartbeat {
		return nil
	}
	r := &Report{Sender: t.id, Full: full, Loads: map[Key]Load{}}
	for key, load := range loads {
		if full || !load.approxEqual(t.reported[key].now(now)) {
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
	t.recordReported(now, r)
	t.sequence++
	r.Sequence = t.sequence
	return r
}

// recordReported stores the loads as the other instances will know them after the report.
func (t *Reporter) recordReported(now time.Time, r *Report) {
	for key, load := range r.Loads {
		if load == (Load{}) {
			delete(t.reported, key)
			continue
		}
		t.reported[key] = reported{load: load, at: now}
	}
}
