package arbiter

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Withdrawal says that a requester no longer waits for the answer to a request: the arbiter was silent, and
// the prompt is placed elsewhere.
type Withdrawal struct {
	ID string `json:"id"` // of the request
}

// DecodeWithdrawal decodes the payload of a datagram.
func DecodeWithdrawal(data []byte) (*Withdrawal, error) {
	var w Withdrawal
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrap(err, "decode withdrawal of a placement request")
	}
	return &w, nil
}

// Withdraw forgets a request, also if it was answered.
func (q *Queue) Withdraw(id string) {
	delete(q.pending, id)
	delete(q.answered, id)
}
