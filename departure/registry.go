package departure

// MaxRecords bounds the kept departures. Beyond it the oldest ones are dropped before the end of their
// retention.
const MaxRecords = 16_384

// Record is a kept departure. Index is the log index of the entry that brought it.
type Record struct {
	Departure
	Index uint64 `json:"x"`
}

// Registry holds the departures that the log has brought, oldest first. It is part of the replicated state:
// equal operations in equal order lead to equal registries.
type Registry struct {
	Version uint64   `json:"version"` // log index of the last change, 0 if there was none
	Records []Record `json:"records"`
}

// Add adds the departures of a log entry. Those that are known already stay as they are.
func (r *Registry) Add(index uint64, departed []Departure) {
	kept := r.Incarnations()
	for _, d := range departed {
		if d.Incarnation <= kept[d.Name] {
			continue
		}
		kept[d.Name] = d.Incarnation
		r.Records = append(r.Records, Record{Departure: d, Index: index})
		r.Version = index
	}
	if excess := len(r.Records) - MaxRecords; excess > 0 {
		r.Records = append([]Record(nil), r.Records[excess:]...)
	}
}

// Expire drops, by the log entry at index, the departures of the entries up to another one.
func (r *Registry) Expire(index, upTo uint64) {
	drop := 0
	for drop < len(r.Records) && r.Records[drop].Index <= upTo {
		drop++
	}
	if drop == 0 {
		return
	}
	r.Records = append([]Record(nil), r.Records[drop:]...)
	r.Version = index
}

// Contains reports whether an upstream has departed with an incarnation, or with a later one.
func (r *Registry) Contains(d Departure) bool {
	for i := range r.Records {
		if r.Records[i].Name == d.Name && r.Records[i].Incarnation >= d.Incarnation {
			return true
		}
	}
	return false
}

// Oldest returns the log index of the oldest departure, 0 if there are none.
func (r *Registry) Oldest() uint64 {
	if len(r.Records) == 0 {
		return 0
	}
	return r.Records[0].Index
}

// Incarnations returns the highest incarnation of each upstream that has departed, by name.
func (r *Registry) Incarnations() map[string]uint64 {
	highest := make(map[string]uint64, len(r.Records))
	for i := range r.Records {
		highest[r.Records[i].Name] = max(highest[r.Records[i].Name], r.Records[i].Incarnation)
	}
	return highest
}
