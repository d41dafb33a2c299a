package claim

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Record is one synced change of a voter. Exactly one field is set.
type Record struct {
	Vote  *Vote       `json:"vote,omitempty"`
	Epoch *EpochState `json:"epoch,omitempty"`
}

// EpochState says how far a voter has come.
type EpochState struct {
	Entered  []Epoch   `json:"entered"`  // epochs from the last complete one on; it votes in none but the last
	Complete uint64    `json:"complete"` // up to this epoch it knows every claim that may have been won
	Since    time.Time `json:"since"`    // when the last epoch was entered
	// Forgotten is the newest time such that votes of keys made before it may
	// have been dropped. Such keys are refused also when the lifetime is raised
	// later, or on a voter whose clock is behind that of the one it copied from.
	Forgotten time.Time `json:"forgotten,omitzero"`
}

// EncodeRecord returns the form of a record on the disk.
func EncodeRecord(r Record) ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads a record from the disk.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "claim record")
	}
	if (r.Vote == nil) == (r.Epoch == nil) {
		return Record{}, errors.New("claim record: exactly one of vote and epoch belongs in it")
	}
	return r, nil
}
