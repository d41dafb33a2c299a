package control

import (
	"context"
	"time"

	"celeryport/quarantine"
	"celeryport/verdict"
)

// The operators' commands for quarantined requests.
const (
	CommandQuarantineList    = "quarantine.list"
	CommandQuarantineRelease = "quarantine.release"
)

// QuarantineStatus is the response to CommandQuarantineList.
type QuarantineStatus struct {
	Records []quarantine.Record     `json:"records"` // by the time of the last evidence, oldest first
	Parts   quarantine.PartRegistry `json:"parts"`
}

// ReleaseRequest is the body of CommandQuarantineRelease. It names a request or a part of prompts.
type ReleaseRequest struct {
	Request quarantine.Fingerprint `json:"request,omitzero"`
	Part    quarantine.Part        `json:"part,omitempty"`
}

// String returns what is released, in the form used in logs and operators' commands.
func (r *ReleaseRequest) String() string {
	if r.Part != 0 {
		return r.Part.String()
	}
	return r.Request.String()
}

// evidence returns the evidence that releases it.
func (r *ReleaseRequest) evidence() quarantine.Evidence {
	e := quarantine.Evidence{Request: r.Request, Outcome: quarantine.Answered}
	if r.Part != 0 {
		e.Parts = []quarantine.Part{r.Part}
	}
	return e
}

// listQuarantine is the handler of CommandQuarantineList.
func (n *Node) listQuarantine(ctx context.Context, _ []byte) ([]byte, error) {
	var status QuarantineStatus
	err := n.asLeader(ctx, func(_ time.Time, l *leader) {
		status.Records, status.Parts = l.core.group.machine.QuarantineRecords(), l.core.group.machine.QuarantinedParts()
	})
	if err != nil {
		return nil, err
	}
	return encode(status)
}

// releaseQuarantined is the handler of CommandQuarantineRelease: an operator declares a
// request or a part of prompts harmless, and all evidence against it is removed.
func (n *Node) releaseQuarantined(ctx context.Context, body []byte) ([]byte, error) {
	request, err := decode[ReleaseRequest](body)
	if err != nil {
		return nil, err
	}
	var known bool
	err = n.asLeader(ctx, func(_ time.Time, l *leader) {
		for _, r := range l.core.group.machine.QuarantineRecords() {
			known = known || request.Part == 0 && r.Request == request.Request
		}
		parts := l.core.group.machine.QuarantinedParts()
		known = known || request.Part != 0 && parts.Known(request.Part)
	})
	if err != nil {
		return nil, err
	}
	if !known {
		return nil, verdict.Refuse(verdict.ReasonNotFound, 0, "there is no evidence against %s", request)
	}
	err = n.proposeEvidence(ctx, []quarantine.Evidence{request.evidence()})
	if err != nil {
		return nil, err
	}
	return encode(request)
}
