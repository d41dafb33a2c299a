package claim

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Record is one change of a voter's state that is synced to disk. Exactly one field
// is set.
type Record struct {
	Vote  *Vote       `json:"vote,omitempty"`
	Epoch *EpochState `json:"epoch,omitempty"`
}

// EpochState is a voter's progress through the epochs.
type EpochState struct {
	Entered  []Epoch   `json:"entered"`  // epochs from the last complete one on; the voter votes only in the last
	Complete uint64    `json:"complete"` // epoch up to which the voter knows every claim that may have been won
	Since    time.Time `json:"since"`    // time at which the last epoch was entered
	// DroppedBefore is the latest time for which votes of keys created earlier
	// may have been dropped. Such keys are rejected even if the lifetime is
	// raised later, or if the clock of a voter that copied the votes is behind
	// the clock of the voter that dropped them.
	DroppedBefore time.Time `json:"forgotten,omitzero"`
}

// EncodeRecord returns the encoding of a record on disk.
func EncodeRecord(r Record) ([]byte, error) { return json.Marshal(r) }

// DecodeRecord decodes a record from disk.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "claim record")
	}
	if (r.Vote == nil) == (r.Epoch == nil) {
		return Record{}, errors.New("claim record: exactly one of vote and epoch must be set")
	}
	return r, nil
}
