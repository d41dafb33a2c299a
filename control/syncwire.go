package control

import (
	"github.com/cockroachdb/errors"

	"celeryport/claim"
	"celeryport/consensus"
	"celeryport/evacuation"
	"celeryport/membership"
	"celeryport/quarantine"
	"celeryport/quota"
)

// syncRequest is an instance's heartbeat to the leader. Its positions refer to the leader
// identified by Epoch; with another leader they start from 0.
type syncRequest struct {
	Instance  membership.Instance `json:"instance,omitzero"`
	Brief     *briefInstance      `json:"brief,omitempty"`    // replaces Instance once the leader knows the rest
	VoterID   consensus.ID        `json:"voter_id,omitempty"` // set by an instance with a log
	Epoch     string              `json:"epoch,omitempty"`
	Members   uint64              `json:"members,omitempty"`   // known revision of the membership table
	Upstreams uint64              `json:"upstreams,omitempty"` // last applied batch of the leader
	Claims    uint64              `json:"claims,omitempty"`    // known epoch of claims
	Demand    []quota.Demand      `json:"demand,omitempty"`
	Grants    uint64              `json:"grants,omitempty"`   // allocation round of the grants in use
	Bare      bool                `json:"bare,omitempty"`     // the instance has no settings at all
	Seeking   bool                `json:"seeking,omitempty"`  // no leader has accepted the instance yet
	Known     int                 `json:"known,omitempty"`    // number of upstreams known to the instance
	WaitMs    int64               `json:"wait_ms,omitempty"`  // longest time for which the leader may hold the response
	Attach    bool                `json:"attach,omitempty"`   // any voter may answer, leading or not
	Probe     bool                `json:"probe,omitempty"`    // only asks whether the voter is in contact with a leader; nothing else is set
	Attached  []attachedInstance  `json:"attached,omitempty"` // set by a voter: the instances attached to it

	Quarantine *uint64 `json:"quarantine,omitempty"` // known version of the quarantined requests; nil if the sender does not use them

	Evacuated uint64 `json:"evacuated,omitempty"` // known version of the evacuated zones

	announcements []byte // announcements received directly that the leader has not acknowledged; sent beside the JSON
	deliveryMark  uint64 // of a voter: delivery mark that this sync covers; not sent
	batchPosition uint64 // position of the receiver after it has applied announcements, if it has all earlier batches; not sent
}

// check rejects a sync that no correct instance of this version sends.
func (r *syncRequest) check() error {
	if r.Attach && !r.Probe && r.Brief == nil && r.Instance.Name == "" {
		return errors.New("the sync names no instance")
	}
	for n := range r.Attached {
		if r.Attached[n].Whole == nil && r.Attached[n].Brief == nil {
			return errors.New("a statement names no attached instance")
		}
	}
	return nil
}

// briefInstance holds the fields of an instance that may change while it runs.
type briefInstance struct {
	Name        string           `json:"n"`
	Incarnation uint64           `json:"i"`
	State       membership.State `json:"s,omitempty"`
	Revision    uint64           `json:"r,omitempty"`
	Evacuated   uint64           `json:"e,omitempty"`
}

// briefOf returns the fields of an instance that may change.
func briefOf(i *membership.Instance) *briefInstance {
	return &briefInstance{Name: i.Name, Incarnation: i.Incarnation, State: i.State, Revision: i.Revision, Evacuated: i.Evacuated}
}

// of returns the known instance with the fields of the brief form applied.
func (b *briefInstance) of(known membership.Instance) membership.Instance {
	known.Incarnation, known.State, known.Revision, known.Evacuated = b.Incarnation, b.State, b.Revision, b.Evacuated
	return known
}

// revision returns the revision that the sender has installed.
func (r *syncRequest) revision() uint64 {
	if r.Brief != nil {
		return r.Brief.Revision
	}
	return r.Instance.Revision
}

// syncResponse is the response to a syncRequest.
type syncResponse struct {
	Leader      string             `json:"leader,omitempty"`   // control address of the leader, if known
	Redirect    bool               `json:"redirect,omitempty"` // this voter does not lead; only Leader and Provisional may be set besides
	Restate     bool               `json:"restate,omitempty"`  // the brief instance is not known here and must be stated in full
	Superseded  uint64             `json:"superseded,omitempty"`
	Epoch       string             `json:"epoch,omitempty"`
	LeaseMs     int64              `json:"lease_ms,omitempty"` // 0: no lease
	Revision    uint64             `json:"revision,omitempty"`
	Text        []byte             `json:"text,omitempty"` // set if the instance has an older revision
	Members     memberDelta        `json:"member_delta,omitzero"`
	Settled     bool               `json:"settled,omitempty"` // the leader knows every live instance
	MembersAt   uint64             `json:"members_at,omitempty"`
	HeldMs      int64              `json:"held_ms,omitempty"`     // how long the leader held the sync
	AppliedUpTo uint64             `json:"heard_up_to,omitempty"` // last batch of this instance that the leader has applied
	Grants      []quota.Grant      `json:"grants,omitempty"`
	GrantsAt    uint64             `json:"grants_at,omitempty"`
	Voters      []consensus.Member `json:"voters,omitempty"`
	Provisional *provisional       `json:"provisional,omitempty"` // from a voter that does not lead, to an instance that has no settings or no leader
	Claims      claim.Epoch        `json:"claims,omitzero"`       // voters on claims, if changed
	Detached    bool               `json:"detached,omitempty"`    // the voter that answers an attached instance has no contact with a leader
	Accepted    bool               `json:"taken,omitempty"`       // a leader has accepted the attached instance
	Unknown     []string           `json:"unknown,omitempty"`     // attached instances that must be stated in full

	Quarantine *quarantine.List `json:"quarantine,omitempty"` // set if changed
	Evacuated  *evacuation.List `json:"evacuated,omitempty"`  // set if changed

	SupersededAttached map[string]uint64 `json:"superseded_attached,omitempty"` // attached instances of which a higher incarnation is known, with that incarnation

	upstreams          []byte // announcements that the instance has not acknowledged; sent beside the JSON
	mayAnnounceLeaving bool   // the sync may announce a leaving upstream; the response is sent only after the leader has it
}
