package arbiter

import (
	"encoding/json"
	"path"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/loadshare"
	"celeryport/placement"
	"celeryport/quarantine"
)

// Request is a request to place a prompt. It is sent again and again until the answer arrives;
// Remaining and Waited are as of each transmission and count for this attempt alone.
type Request struct {
	ID             string          `json:"id"`               // of the call and the attempt
	Previous       string          `json:"before,omitempty"` // ID of the call's earlier request whose placement could not be used
	Service        string          `json:"service"`
	Prompt         int             `json:"prompt"`
	Answer         int             `json:"answer"`
	Objective      time.Duration   `json:"objective"`
	LongPause      time.Duration   `json:"long_pause"`
	Remaining      time.Duration   `json:"left"`
	Waited         time.Duration   `json:"waited"`
	PromptID       uint64          `json:"prompt_id,omitempty"`    // the same for all attempts of a caller with one prompt
	Tried          []loadshare.Key `json:"tried,omitempty"`        // engines that must not be used for it
	LeadCandidates []loadshare.Key `json:"leads,omitempty"`        // engines that may lead it; empty: any
	Refused        []loadshare.Key `json:"refused,omitempty"`      // engines that refused to help with it
	Frail          []loadshare.Key `json:"frail,omitempty"`        // engines that should not help with it; none in older builds
	Organisation   string          `json:"organisation,omitempty"` // empty if organisations have no shares, and in older builds
	Assured        bool            `json:"assured,omitempty"`      // ordered like a prompt of an organisation within its share
}

// Call identifies the call among those of all instances.
func (a *Request) Call() quarantine.Fingerprint {
	return quarantine.Fingerprint{Body: uint64(loadshare.KeyOf(path.Dir(a.ID)))}
}

// mayLead reports whether an engine may lead the prompt.
func (a *Request) mayLead(key loadshare.Key) bool {
	return len(a.LeadCandidates) == 0 || slices.Contains(a.LeadCandidates, key)
}

// Decision is the outcome of a request.
type Decision byte

const (
	// Waiting means that the request was received and waits for engines.
	Waiting Decision = iota
	// Placed means that the request was placed.
	Placed
	// Infeasible means that the prompt can't be placed in time.
	Infeasible
	// Unknown means that this instance knows no engines of the service.
	Unknown
)

// Answer is the arbiter's reply to a request.
type Answer struct {
	ID         string          `json:"id"`
	Decision   Decision        `json:"decision"`
	Lead       loadshare.Key   `json:"lead,omitempty"`
	Helpers    []loadshare.Key `json:"helpers,omitempty"`
	Reserved   []Reserved      `json:"reserved,omitempty"`
	Part       time.Duration   `json:"part,omitempty"` // how long each of these engines counts as busy with prefill
	FirstEvent time.Duration   `json:"first_event,omitempty"`
	Excess     time.Duration   `json:"excess,omitempty"`
	Age        time.Duration   `json:"age,omitempty"` // age of the prompt on arrival, if it was rejected before
	Seen       placement.Seen  `json:"seen"`
}

// Reserved is memory reserved on a helper for a part of a prompt.
type Reserved struct {
	Engine loadshare.Key `json:"engine"`
	Tokens int           `json:"tokens"`
}

// DecodeRequest decodes the payload of a datagram.
func DecodeRequest(data []byte) (*Request, error) {
	var a Request
	if err := json.Unmarshal(data, &a); err != nil {
		return nil, errors.Wrap(err, "decode placement request")
	}
	return &a, nil
}

// DecodeAnswer decodes the payload of a datagram.
func DecodeAnswer(data []byte) (*Answer, error) {
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return nil, errors.Wrap(err, "decode placement answer")
	}
	return &a, nil
}
