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
	Records []quarantine.Record `json:"records"` // by the time of the last evidence, oldest first
}

// ReleaseRequest is the body of CommandQuarantineRelease.
type ReleaseRequest struct {
	Request quarantine.Fingerprint `json:"request"`
}

// listQuarantine is the handler of CommandQuarantineList.
func (n *Node) listQuarantine(ctx context.Context, _ []byte) ([]byte, error) {
	var status QuarantineStatus
	err := n.asLeader(ctx, func(_ time.Time, l *leader) {
		status.Records = l.core.group.machine.QuarantineRecords()
	})
	if err != nil {
		return nil, err
	}
	return encode(status)
}

// releaseQuarantined is the handler of CommandQuarantineRelease: an operator declares a
// request harmless, and all evidence against it is removed.
func (n *Node) releaseQuarantined(ctx context.Context, body []byte) ([]byte, error) {
	request, err := decode[ReleaseRequest](body)
	if err != nil {
		return nil, err
	}
	var known bool
	err = n.asLeader(ctx, func(_ time.Time, l *leader) {
		for _, r := range l.core.group.machine.QuarantineRecords() {
			known = known || r.Request == request.Request
		}
	})
	if err != nil {
		return nil, err
	}
	if !known {
		return nil, verdict.Refuse(verdict.ReasonNotFound, 0, "there is no evidence against the request %s", request.Request)
	}
	err = n.proposeEvidence(ctx, []quarantine.Evidence{{Request: request.Request, Outcome: quarantine.Answered}})
	if err != nil {
		return nil, err
	}
	return encode(request)
}
