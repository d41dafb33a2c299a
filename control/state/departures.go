package state

import (
	"bytes"

	"celeryport/departure"
)

// DeparturesVersion returns the log index of the last change to the departed upstreams, 0 if there was none.
func (m *Machine) DeparturesVersion() uint64 { return m.content.Departed.Version }

// Departed returns the highest incarnation of each upstream that has departed, by name.
func (m *Machine) Departed() map[string]uint64 { return m.content.Departed.Incarnations() }

// HasDeparted reports whether an upstream has departed with an incarnation, or with a later one.
func (m *Machine) HasDeparted(d departure.Departure) bool { return m.content.Departed.Contains(d) }

// OldestDeparture returns the log index of the oldest departure, 0 if there are none.
func (m *Machine) OldestDeparture() uint64 { return m.content.Departed.Oldest() }

// departuresField is contained in the encoding of each command with departures.
var departuresField = []byte(`"departures"`)

// DeparturesOf returns the departures that an entry of the log brings, whether it is committed or not.
func DeparturesOf(data []byte) ([]departure.Departure, error) {
	if !bytes.Contains(data, departuresField) {
		return nil, nil
	}
	command, err := decodeCommand(data)
	if err != nil || command.Departures == nil {
		return nil, err
	}
	return command.Departures.Departed, nil
}
