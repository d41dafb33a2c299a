package state

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/claim"
	"celeryport/departure"
	"celeryport/evacuation"
	"celeryport/quarantine"
)

// maxHistory is how many past revisions are kept. They describe the winning revision to
// operators whose order failed with a conflict.
const maxHistory = 2_000

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	content content
}

// content is the part of the state that is stored in snapshots.
type content struct {
	Applied uint64      `json:"applied"` // log index of the last applied entry
	Clock   time.Time   `json:"clock"`   // latest timestamp of any command; never decreases
	Current Revision    `json:"current"`
	Text    []byte      `json:"text"`
	History []Revision  `json:"history"` // oldest first, includes Current
	Orders  orderStore  `json:"orders"`
	Issuer  Issuer      `json:"issuer"`
	Epoch   claim.Epoch `json:"epoch"`

	Quarantine quarantine.Registry `json:"quarantine,omitzero"`
	Evacuated  *evacuation.List    `json:"evacuated,omitempty"`
	Departed   departure.Registry  `json:"departed,omitzero"`
}

// New returns the empty state.
func New() *Machine { return &Machine{} }

// Applied returns the log index of the last applied entry.
func (m *Machine) Applied() uint64 { return m.content.Applied }

// Current returns the accepted revision. Its number is 0 before the first one.
func (m *Machine) Current() Revision { return m.content.Current }

// Text returns the accepted settings text. The caller must not change it.
func (m *Machine) Text() []byte { return m.content.Text }

// Issuer returns the current issuer of engine orders.
func (m *Machine) Issuer() Issuer { return m.content.Issuer }

// QuarantineVersion returns the log index of the last change to the quarantined requests, or
// 0 if there was none.
func (m *Machine) QuarantineVersion() uint64 { return m.content.Quarantine.Version }

// Quarantine returns the quarantined requests.
func (m *Machine) Quarantine() *quarantine.List { return m.content.Quarantine.List() }

// QuarantineRecords returns the evidence against each request, oldest first.
func (m *Machine) QuarantineRecords() []quarantine.Record {
	return slices.Clone(m.content.Quarantine.Records)
}

// QuarantinedParts returns the evidence against parts of prompts.
func (m *Machine) QuarantinedParts() quarantine.PartRegistry {
	return m.content.Quarantine.Parts.Clone()
}

// QuarantineUnsettled reports whether a later command may blame parts of prompts without new evidence.
func (m *Machine) QuarantineUnsettled() bool {
	return m.content.Quarantine.Parts.Unsettled(&quarantine.FleetLimits.Parts)
}

// Evacuated returns the evacuated availability zones, nil if there were never any.
func (m *Machine) Evacuated() *evacuation.List { return m.content.Evacuated }

// History returns up to limit of the newest revisions, oldest first.
func (m *Machine) History(limit int) []Revision {
	from := max(0, len(m.content.History)-limit)
	return append([]Revision(nil), m.content.History[from:]...)
}

// Lookup returns the first outcome of an order id and whether the id is still stored.
func (m *Machine) Lookup(orderID string) (Outcome, bool) {
	o, found := m.content.Orders.find(orderID)
	return o.Outcome, found
}

// Skip records that the entry at index, which carries no command, was applied.
func (m *Machine) Skip(index uint64) { m.content.Applied = max(m.content.Applied, index) }

// Apply executes a committed command. Entries that were already applied are ignored, because
// the log may replay entries after a restart that the snapshot already contains. An error
// means that this voter cannot follow the log and has to stop.
func (m *Machine) Apply(index, term uint64, data []byte) (Outcome, error) {
	if index <= m.content.Applied {
		return Outcome{}, nil
	}
	command, err := decodeCommand(data)
	if err != nil {
		return Outcome{}, errors.Wrapf(err, "log entry %d", index)
	}
	m.content.Applied = index
	m.advanceClock(index, command)
	if command.Issuer != nil {
		m.assignIssuer(index, term, command.Issuer)
		return Outcome{}, nil
	}
	if len(command.Evidence) > 0 {
		m.content.Quarantine.AddEvidence(m.content.Clock, index, &quarantine.FleetLimits, command.Evidence)
		return Outcome{}, nil
	}
	if order := command.Evacuate; order != nil {
		m.content.Evacuated = m.content.Evacuated.With(index, order.Zone, order.Evacuated)
		return Outcome{Evacuated: evacuation.VersionOf(m.content.Evacuated)}, nil
	}
	if d := command.Departures; d != nil {
		m.content.Departed.Add(index, d.Departed)
		m.content.Departed.Expire(index, d.Expired)
		return Outcome{}, nil
	}
	if command.Document != nil {
		return m.putDocument(index, command.Document), nil
	}
	return m.apply(index, command.Apply), nil
}

// putDocument installs a document only if its version is higher than the accepted one. A
// document that is resent, or that arrives after a newer one, is acknowledged without
// effect, so the content of an accepted version never changes.
func (m *Machine) putDocument(index uint64, d *PutDocument) Outcome {
	if m.content.Current.Number > 0 && d.Version <= m.content.Current.Version {
		return Outcome{Kind: Superseded, Current: m.content.Current.Number}
	}
	m.accept(Revision{
		Number: index, Base: m.content.Current.Number, Version: d.Version, At: m.content.Clock, Digest: Digest(d.Text),
	}, d.Text)
	return Outcome{Kind: Accepted, Revision: index, Current: index}
}

// advanceClock advances the replicated clock and expires old order ids and evidence. A
// leader whose wall clock is behind never moves the replicated clock back.
func (m *Machine) advanceClock(index uint64, c *Command) {
	if c.At.After(m.content.Clock) {
		m.content.Clock = c.At
	}
	m.content.Quarantine.Expire(m.content.Clock, index, &quarantine.FleetLimits)
	if c.Lifetime > 0 {
		m.content.Orders.expire(m.content.Clock.Add(-c.Lifetime), m.content.Current.Number)
	}
}

func (m *Machine) assignIssuer(index, term uint64, a *AssignIssuer) {
	m.content.Issuer = Issuer{
		Holder:      a.Holder,
		Incarnation: a.Incarnation,
		Fence:       Fence{Term: term, Index: index},
	}
}

// apply decides an order. A known id gets its first outcome again, and an id that may have
// expired is not run. Any other order wins only if its base is the accepted revision.
func (m *Machine) apply(index uint64, a *Apply) Outcome {
	digest := Digest(a.Text)
	if first, found := m.content.Orders.find(a.OrderID); found {
		return m.resentOutcome(first, a, digest)
	}
	if m.content.Orders.mayBeExpired(a.Base) {
		return Outcome{Kind: Expired, Current: m.content.Current.Number}
	}
	outcome := m.decide(index, a, digest)
	m.content.Orders.add(order{
		ID: a.OrderID, Base: a.Base, Digest: digest, At: m.content.Clock, Outcome: outcome,
	})
	return outcome
}

func (m *Machine) resentOutcome(first order, a *Apply, digest string) Outcome {
	if first.Digest != digest || first.Base != a.Base {
		return Outcome{Kind: Reused, Current: m.content.Current.Number}
	}
	return first.Outcome
}

func (m *Machine) decide(index uint64, a *Apply, digest string) Outcome {
	if a.Base != m.content.Current.Number {
		winner := m.successor(a.Base)
		return Outcome{Kind: Conflict, Current: m.content.Current.Number, Winner: &winner}
	}
	m.accept(Revision{
		Number: index, Base: a.Base, OrderID: a.OrderID, At: m.content.Clock, Digest: digest,
	}, a.Text)
	return Outcome{Kind: Accepted, Revision: index, Current: index}
}

// accept makes r the accepted revision and text its settings text.
func (m *Machine) accept(r Revision, text []byte) {
	m.content.Current = r
	m.content.Text = append([]byte(nil), text...)
	m.content.History = append(m.content.History, r)
	if excess := len(m.content.History) - maxHistory; excess > 0 {
		m.content.History = append([]Revision(nil), m.content.History[excess:]...)
	}
}

// successor returns the revision that replaced base, or the current revision if that one is
// no longer in the history.
func (m *Machine) successor(base uint64) Revision {
	for _, r := range m.content.History {
		if r.Base == base {
			return r
		}
	}
	return m.content.Current
}

// Digest returns the hexadecimal SHA-256 of a settings text.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
