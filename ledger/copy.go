package ledger

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Copy carries what changed in one account after From and up to To: the
// cumulative values, not differences, so that a doubled, late or reordered copy
// does no harm. From 0 it carries the whole account.
type Copy struct {
	ID      ID
	From    uint64
	To      uint64
	Started time.Time // of the account
	At      time.Time // when the copy was taken
	Final   bool      // the instance ended gracefully, nothing follows
	Series  []SeriesCopy
}

// SeriesCopy carries the changed counters of one series.
type SeriesCopy struct {
	Series   Series
	Counters Counters
}

// errMalformed is returned for a copy that no account can have made.
var errMalformed = errors.New("malformed copy of a ledger")

func decodeCopy(encoded []byte) (*Copy, error) {
	var c Copy
	if err := decode(encoded, &c); err != nil {
		return nil, err
	}
	if !c.valid() {
		return nil, errMalformed
	}
	return &c, nil
}

func (c *Copy) valid() bool {
	if c.ID.Instance == "" || c.From > c.To {
		return false
	}
	for i := range c.Series {
		if !c.Series[i].Counters.valid() {
			return false
		}
	}
	return true
}
