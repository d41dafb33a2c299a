package quarantine

import (
	"encoding/json"
	"slices"
)

// List is the set of quarantined requests, and of blamed and watched parts of prompts, at one version of a Registry. It
// is immutable; nil is an empty list.
type List struct {
	version  uint64
	requests map[Fingerprint]struct{}
	groups   []PartGroup
	watched  []Part

	alternatives []Alternatives
}

// NewList returns a list. groups and watched must not be changed afterwards.
func NewList(version uint64, requests []Fingerprint, groups []PartGroup, watched []Part) *List {
	l := &List{version: version, requests: make(map[Fingerprint]struct{}, len(requests)), groups: groups, watched: watched}
	for _, r := range requests {
		l.requests[r] = struct{}{}
	}
	return l
}

// Version returns the version of the registry, or 0 if the list is nil.
func (l *List) Version() uint64 {
	if l == nil {
		return 0
	}
	return l.version
}

// Size returns the number of quarantined requests.
func (l *List) Size() int {
	if l == nil {
		return 0
	}
	return len(l.requests)
}

// Contains reports whether a request is quarantined.
func (l *List) Contains(request Fingerprint) bool {
	if l == nil {
		return false
	}
	_, found := l.requests[request]
	return found
}

// ContainsParts reports whether a prompt with these parts has all parts of a blamed group.
func (l *List) ContainsParts(parts []Part) bool {
	if l == nil || len(parts) == 0 {
		return false
	}
	return slices.ContainsFunc(l.groups, func(g PartGroup) bool { return g.within(parts) })
}

// Groups returns the blamed groups.
func (l *List) Groups() []PartGroup {
	if l == nil {
		return nil
	}
	return l.groups
}

// Without returns a list whose groups lack cleared parts: one of the others is to blame then.
func (l *List) Without(cleared map[Part]bool) *List {
	if l == nil || len(cleared) == 0 {
		return l
	}
	reduced := &List{version: l.version, requests: l.requests, watched: l.watched, alternatives: l.alternatives}
	for _, group := range l.groups {
		left := slices.DeleteFunc(slices.Clone(group), func(p Part) bool { return cleared[p] })
		if len(left) > 0 {
			reduced.groups = append(reduced.groups, left)
		}
	}
	return reduced
}

// SuspectedAmong returns those of some parts that are blamed or watched.
func (l *List) SuspectedAmong(parts []Part) []Part {
	if l == nil || len(l.groups)+len(l.watched) == 0 {
		return nil
	}
	var suspected []Part
	for _, p := range parts {
		if slices.Contains(l.watched, p) || slices.ContainsFunc(l.groups, func(g PartGroup) bool { return slices.Contains(g, p) }) {
			suspected = append(suspected, p)
		}
	}
	return suspected
}

// Parts returns all blamed and watched parts.
func (l *List) Parts() []Part {
	if l == nil {
		return nil
	}
	return append(slices.Concat(l.groups...), l.watched...)
}

// GroupCount returns the number of blamed groups.
func (l *List) GroupCount() int {
	if l == nil {
		return 0
	}
	return len(l.groups)
}

// listWire is the JSON form of a List.
type listWire struct {
	Version  uint64        `json:"version"`
	Requests []Fingerprint `json:"requests,omitempty"`
	Groups   []PartGroup   `json:"groups,omitempty"`
	Watched  []Part        `json:"watched,omitempty"`

	Alternatives []Alternatives `json:"alternatives,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (l *List) MarshalJSON() ([]byte, error) {
	wire := listWire{Version: l.version, Groups: l.groups, Watched: l.watched, Alternatives: l.alternatives}
	for r := range l.requests {
		wire.Requests = append(wire.Requests, r)
	}
	return json.Marshal(wire)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *List) UnmarshalJSON(data []byte) error {
	var wire listWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	*l = *NewList(wire.Version, wire.Requests, wire.Groups, wire.Watched)
	l.alternatives = wire.Alternatives
	return nil
}
