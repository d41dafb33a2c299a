package upstream

import "testing"

// Guards against new work for upstreams of an evacuated zone, also after an update of the
// snapshot's clock.
func TestEvacuatedUpstreamsAreNotFresh(t *testing.T) {
	r := NewRegistry(testFreshFor)
	r.Apply(testStart, Announcement{Name: "a", Incarnation: 1, Sequence: 1, AvailabilityZone: "z1"})
	r.Apply(testStart, Announcement{Name: "b", Incarnation: 1, Sequence: 1, AvailabilityZone: "z2"})
	s := r.Snapshot(testStart)
	s.MarkEvacuated(func(zone string) bool { return zone == "z1" })
	for n, want := range []State{Evacuated, Fresh} {
		if u := &s.Upstreams[n]; u.State != want || u.StateAt(testStart) != want {
			t.Errorf("%s is %s, want %s", u.Announcement.Name, u.State, want)
		}
	}
}
