package consensus

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// maxEntriesPerMessage limits the number of entries that a receiver accepts in
// one message.
const maxEntriesPerMessage = 1 << 16

// EncodeMessage returns the wire encoding of a message.
func EncodeMessage(m *Message) ([]byte, error) {
	return json.Marshal(m)
}

// DecodeMessage decodes and validates a message. It rejects messages that no
// node sends, so that Step sees only well-formed ones.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := json.Unmarshal(data, &m); err != nil {
		return Message{}, errors.Wrap(err, "consensus message")
	}
	if err := m.check(); err != nil {
		return Message{}, errors.Wrap(err, "consensus message")
	}
	return m, nil
}

func (m *Message) check() error {
	switch {
	case m.Kind > TimeoutNow:
		return errors.Newf("unknown kind %d", m.Kind)
	case m.From == "" || m.To == "":
		return errors.New("no sender or no recipient")
	case m.Kind != AppendRequest && len(m.Entries) > 0:
		return errors.Newf("entries in a message of kind %d", m.Kind)
	case len(m.Entries) > maxEntriesPerMessage:
		return errors.Newf("%d entries", len(m.Entries))
	case (m.Kind == SnapshotRequest) != (m.Snapshot != nil):
		return errors.New("a snapshot belongs in a snapshot request, and only there")
	}
	if m.Snapshot != nil {
		return m.Snapshot.check()
	}
	return m.checkEntries()
}

func (m *Message) checkEntries() error {
	if err := checkContiguous(m.Index, m.Entries); err != nil {
		return err
	}
	for _, e := range m.Entries {
		switch {
		case e.Term < m.LogTerm || e.Term > m.Term:
			return errors.Newf("entry %d has term %d outside %d to %d", e.Index, e.Term, m.LogTerm, m.Term)
		case e.Kind > Reconfiguration:
			return errors.Newf("entry %d has the unknown kind %d", e.Index, e.Kind)
		case e.Kind == Reconfiguration:
			if _, err := DecodeConfiguration(e.Data); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Snapshot) check() error {
	if s.Index == 0 || s.Term == 0 || len(s.Configuration.Voters) == 0 {
		return errors.New("snapshot without index, term or voters")
	}
	return s.Configuration.check()
}
