package state

import (
	"testing"

	"celeryport/departure"
)

// applyDepartures applies a command with departures at the next log index and returns its encoding.
func applyDepartures(t *testing.T, m *Machine, d Departures) []byte {
	t.Helper()
	data, err := (&Command{At: testStart, Departures: &d}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.Apply(m.Applied()+1, 1, data); err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against departures that a snapshot loses or that are dropped before their time.
func TestDeparturesAreInSnapshots(t *testing.T) {
	m := New()
	one, two := departure.Departure{Name: "e1", Incarnation: 1}, departure.Departure{Name: "e2", Incarnation: 7}
	entry := applyDepartures(t, m, Departures{Departed: []departure.Departure{one}})
	applyDepartures(t, m, Departures{Departed: []departure.Departure{one, two}})
	if stored, err := DeparturesOf(entry); err != nil || len(stored) != 1 || stored[0] != one {
		t.Errorf("the entry holds %v, error %v", stored, err)
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if !restored.HasDeparted(one) || !restored.HasDeparted(two) || restored.DeparturesVersion() != 2 || restored.OldestDeparture() != 1 {
		t.Errorf("restored: %v, version %d", restored.Departed(), restored.DeparturesVersion())
	}
	applyDepartures(t, restored, Departures{Expired: 1})
	if restored.HasDeparted(one) || !restored.HasDeparted(two) {
		t.Errorf("after the expiry: %v", restored.Departed())
	}
}
