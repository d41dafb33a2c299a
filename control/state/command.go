package state

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/departure"
	"celeryport/quarantine"
)

// Versions of log entries, each with the kind of command that it added.
const (
	VersionEvidence   = 1
	VersionEvacuation = 2
	VersionParts      = 3 // evidence about parts of prompts
	VersionIdentities = 4 // evidence that tells which parts came in the same request
	VersionDepartures = 5
	// LogVersion is the newest version that this build can read.
	LogVersion = VersionDepartures
)

// Command is the payload of one log entry. Exactly one of Apply, Issuer, Document, Evidence,
// Evacuate and Departures is set.
type Command struct {
	At       time.Time     `json:"at"`                 // wall-clock time of the proposing leader
	Lifetime time.Duration `json:"lifetime,omitempty"` // retention of order ids, from the settings in force
	Apply    *Apply        `json:"apply,omitempty"`
	Issuer   *AssignIssuer `json:"issuer,omitempty"`
	Document *PutDocument  `json:"document,omitempty"`
	Evacuate *Evacuate     `json:"evacuate,omitempty"`

	Evidence []quarantine.Evidence `json:"evidence,omitempty"` // against requests that crash upstreams

	Departures *Departures `json:"departures,omitempty"`
}

// Apply is an operator's order to replace the settings tree.
type Apply struct {
	OrderID string `json:"order_id"`
	Base    uint64 `json:"base"` // revision that the operator edited; 0 for the first tree
	Text    []byte `json:"text"`
}

// PutDocument is an operator's order to install a document that carries its own version. The
// highest version is kept, regardless of the order in which documents arrive.
type PutDocument struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text"`
}

// Evacuate is an operator's order to send no new work to the upstreams of an availability
// zone, or to use them again.
type Evacuate struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
}

// Departures adds upstreams that have left for good, and drops those that need not be kept any longer.
type Departures struct {
	Departed []departure.Departure `json:"departed,omitempty"`
	Expired  uint64                `json:"expired,omitempty"` // drops the departures of the entries up to this log index
}

// AssignIssuer makes a leader the only issuer of engine orders.
type AssignIssuer struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
}

// Encode returns the command in the format of a log entry.
func (c *Command) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Wrap(err, "encode a command")
}

// decodeCommand rejects commands of unknown kinds. A voter that skipped a command of a newer
// version would silently diverge from the others, so it has to stop instead.
func decodeCommand(data []byte) (*Command, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode a command")
	}
	if c.Apply == nil && c.Issuer == nil && c.Document == nil && c.Evacuate == nil && c.Departures == nil && len(c.Evidence) == 0 {
		return nil, errors.New("unknown kind of command: this build is too old for the log")
	}
	return &c, nil
}
