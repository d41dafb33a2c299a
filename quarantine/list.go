package quarantine

import "encoding/json"

// List is the set of quarantined requests at one version of a Registry. It is
// immutable; nil is an empty list.
type List struct {
	version  uint64
	requests map[Fingerprint]struct{}
}

// NewList returns a list.
func NewList(version uint64, requests []Fingerprint) *List {
	l := &List{version: version, requests: make(map[Fingerprint]struct{}, len(requests))}
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

// listWire is the JSON form of a List.
type listWire struct {
	Version  uint64        `json:"version"`
	Requests []Fingerprint `json:"requests,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (l *List) MarshalJSON() ([]byte, error) {
	wire := listWire{Version: l.version}
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
	*l = *NewList(wire.Version, wire.Requests)
	return nil
}
