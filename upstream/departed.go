package upstream

// SetDeparted replaces the upstreams that have left for good, given by name with their highest incarnation, and
// returns the names of those that were in use until now. Announcements of these incarnations count as leaving
// whatever they state, and also if the upstream is not known: the one that brings it back may have been delayed, and
// the instance may have restarted since.
func (r *Registry) SetDeparted(departed map[string]uint64) []string {
	r.departed = departed
	var ended []string
	for name, incarnation := range departed {
		rec := r.records[name]
		if rec == nil || rec.announcement.Leaving || rec.announcement.Incarnation > incarnation {
			continue
		}
		rec.announcement.Leaving = true
		rec.version = r.nextVersion()
		ended = append(ended, name)
	}
	return ended
}

// HasDeparted reports whether an incarnation of an upstream has left for good.
func (r *Registry) HasDeparted(name string, incarnation uint64) bool {
	return incarnation <= r.departed[name]
}
