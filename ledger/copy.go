package ledger

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Copy holds the counters of one account that changed after From and up to To.
// The values are cumulative rather than differences, so duplicated, delayed and
// reordered copies have no effect. A copy from 0 holds the whole account.
type Copy struct {
	ID      ID
	From    uint64
	To      uint64
	Started time.Time // start of the account
	At      time.Time // time of the copy
	Final   bool      // the instance shut down gracefully; no copy follows
	Series  []SeriesCopy
}

// SeriesCopy holds the changed counters of one series.
type SeriesCopy struct {
	Series   Series
	Counters Counters
}

// errMalformed is returned for a copy that no account can have produced.
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
