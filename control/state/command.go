package state

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/quarantine"
)

// LogVersion is the version of the log entries that this program reads. Evidence came with
// version 1.
const LogVersion = 1

// Command is the data of one proposal in the log. Exactly one of its parts is
// set.
type Command struct {
	At       time.Time     `json:"at"`                 // wall time of the leader that proposed it
	Lifetime time.Duration `json:"lifetime,omitempty"` // how long order ids are remembered, from the settings in force
	Apply    *Apply        `json:"apply,omitempty"`
	Issuer   *TakeIssuer   `json:"issuer,omitempty"`
	Document *PutDocument  `json:"document,omitempty"`

	Evidence []quarantine.Evidence `json:"evidence,omitempty"` // about requests that crash upstreams
}

// Apply is an operator's order to replace the settings tree.
type Apply struct {
	OrderID string `json:"order_id"`
	Base    uint64 `json:"base"` // revision that the operator built on, 0 for the first tree
	Text    []byte `json:"text"`
}

// PutDocument is an operator's order to install a document that numbers its
// versions itself: of two the higher one holds, in whatever order they come.
type PutDocument struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text"`
}

// TakeIssuer makes a leader the only issuer of engine orders.
type TakeIssuer struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
}

// Encode returns the log data of the command.
func (c *Command) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Wrap(err, "encode a command")
}

// decodeCommand refuses what it does not know. A voter that skipped a command
// of a newer version would silently differ from the others; it must stop.
func decodeCommand(data []byte) (*Command, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode a command")
	}
	if c.Apply == nil && c.Issuer == nil && c.Document == nil && len(c.Evidence) == 0 {
		return nil, errors.New("a command of an unknown kind; this version is too old for the log")
	}
	return &c, nil
}
