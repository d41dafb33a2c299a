// Package evacuation holds the availability zones whose upstreams must get no new work
// because an operator has evacuated them. It is pure.
package evacuation

import "slices"

// List is an immutable set of evacuated availability zones. A nil List is empty.
type List struct {
	Version uint64   `json:"version"` // log index of the last change; 0 if there was none
	Zones   []string `json:"zones"`   // sorted
}

// VersionOf returns the version of a list, 0 for nil.
func VersionOf(l *List) uint64 {
	if l == nil {
		return 0
	}
	return l.Version
}

// Covers reports whether an availability zone is evacuated.
func (l *List) Covers(zone string) bool {
	if l == nil {
		return false
	}
	_, found := slices.BinarySearch(l.Zones, zone)
	return found
}

// Names returns the evacuated zones, sorted. The caller must not change the result.
func (l *List) Names() []string {
	if l == nil {
		return nil
	}
	return l.Zones
}

// With returns the list in which a zone is evacuated or not. If that changes nothing, the
// result is the list itself with its version, so that a repeated order has no effect.
func (l *List) With(version uint64, zone string, evacuated bool) *List {
	if l.Covers(zone) == evacuated {
		return l
	}
	next := &List{Version: version}
	if l != nil {
		next.Zones = slices.Clone(l.Zones)
	}
	at, _ := slices.BinarySearch(next.Zones, zone)
	if evacuated {
		next.Zones = slices.Insert(next.Zones, at, zone)
	} else {
		next.Zones = slices.Delete(next.Zones, at, at+1)
	}
	return next
}

// Newest returns the list with the higher version.
func Newest(a, b *List) *List {
	if VersionOf(b) > VersionOf(a) {
		return b
	}
	return a
}
