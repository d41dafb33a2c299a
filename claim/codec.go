package claim

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Limits on the content of received messages.
const (
	MaxKeyLength         = 256
	maxVotesPerCopy      = 1 << 16
	maxHolderFieldLength = 256
)

// EncodeMessage returns the wire encoding of a message.
func EncodeMessage(m *Message) ([]byte, error) { return json.Marshal(m) }

// DecodeMessage decodes and validates a message. It rejects messages that no
// claimant or voter sends.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := json.Unmarshal(data, &m); err != nil {
		return Message{}, errors.Wrap(err, "claim message")
	}
	if err := m.check(); err != nil {
		return Message{}, errors.Wrap(err, "claim message")
	}
	return m, nil
}

func (m *Message) check() error {
	switch {
	case m.Kind > CopyResponse || m.Answer > Refused || m.Outcome.Kind > Released:
		return errors.Newf("unknown kind %d, answer %d or outcome %d", m.Kind, m.Answer, m.Outcome.Kind)
	case m.From == "" || m.To == "":
		return errors.New("no sender or no recipient")
	case len(m.Outcome.Answer) > MaxAnswer || len(m.Votes) > maxVotesPerCopy:
		return errors.New("answer or copy too large")
	case m.Bucket < 0 || m.Bucket >= bucketCount:
		return errors.Newf("bucket %d", m.Bucket)
	case m.Kind != CopyResponse && len(m.Votes) > 0:
		return errors.New("votes outside a copy")
	}
	if m.Kind == CopyRequest || m.Kind == CopyResponse {
		return nil
	}
	if err := m.Holder.check(); err != nil {
		return err
	}
	return m.Key.check()
}

func (k *Key) check() error {
	if k.Key == "" || len(k.Key) > MaxKeyLength || len(k.Organisation) > MaxKeyLength {
		return errors.New("key empty or too long")
	}
	return nil
}

// check rejects the zero holder, which represents an unknown holder.
func (h *Holder) check() error {
	if h.Instance == "" || h.Request == "" {
		return errors.New("holder without instance or request")
	}
	if len(h.Instance) > maxHolderFieldLength || len(h.Request) > maxHolderFieldLength {
		return errors.New("holder too long")
	}
	return nil
}
