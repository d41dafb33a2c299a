package arbiter

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/loadshare"
	"celeryport/placement"
)

// Ask is a prompt that needs a place. It is sent again and again until the answer
// comes; Left and Waited are those of each time, of this try alone.
type Ask struct {
	ID        string          `json:"id"`               // of the call and the try
	Before    string          `json:"before,omitempty"` // ID of the call's ask whose place came to nothing
	Service   string          `json:"service"`
	Prompt    int             `json:"prompt"`
	Answer    int             `json:"answer"`
	Objective time.Duration   `json:"objective"`
	LongPause time.Duration   `json:"long_pause"`
	Left      time.Duration   `json:"left"`
	Waited    time.Duration   `json:"waited"`
	PromptID  uint64          `json:"prompt_id,omitempty"` // the same for all tries of a caller with one prompt
	Tried     []loadshare.Key `json:"tried,omitempty"`     // engines that may not be used for it
	Leads     []loadshare.Key `json:"leads,omitempty"`     // engines that may lead it; none: any
	Refused   []loadshare.Key `json:"refused,omitempty"`   // engines that refused to help with it
}

// mayLead reports whether an engine may lead the prompt.
func (a *Ask) mayLead(key loadshare.Key) bool {
	return len(a.Leads) == 0 || slices.Contains(a.Leads, key)
}

// Decision is what became of an ask.
type Decision byte

const (
	// Waiting says that the ask was heard, and that it waits for engines.
	Waiting Decision = iota
	// Placed gives it a place.
	Placed
	// Hopeless says that no place comes in time.
	Hopeless
	// Unknown says that this instance knows no engines of the service.
	Unknown
)

// Answer is what the arbiter says to an ask.
type Answer struct {
	ID         string          `json:"id"`
	Decision   Decision        `json:"decision"`
	Lead       loadshare.Key   `json:"lead,omitempty"`
	Helpers    []loadshare.Key `json:"helpers,omitempty"`
	Reserved   []Reserved      `json:"reserved,omitempty"`
	Part       time.Duration   `json:"part,omitempty"` // for which each of these engines counts as reading
	FirstEvent time.Duration   `json:"first_event,omitempty"`
	Excess     time.Duration   `json:"excess,omitempty"`
	Age        time.Duration   `json:"age,omitempty"` // of the prompt when it came, if it was refused before
	Seen       placement.Seen  `json:"seen"`
}

// Reserved is memory that a prompt needs at a helper.
type Reserved struct {
	Engine loadshare.Key `json:"engine"`
	Tokens int           `json:"tokens"`
}

// DecodeAsk reads the content of a datagram.
func DecodeAsk(data []byte) (*Ask, error) {
	var a Ask
	if err := json.Unmarshal(data, &a); err != nil {
		return nil, errors.Wrap(err, "decode an ask")
	}
	return &a, nil
}

// DecodeAnswer reads the content of a datagram.
func DecodeAnswer(data []byte) (*Answer, error) {
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return nil, errors.Wrap(err, "decode an answer")
	}
	return &a, nil
}
