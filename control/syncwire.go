package control

import (
	"github.com/cockroachdb/errors"

	"celeryport/claim"
	"celeryport/consensus"
	"celeryport/membership"
	"celeryport/quarantine"
	"celeryport/quota"
)

// syncRequest is an instance's heartbeat to the leader. The positions are of
// the leader named by Epoch; another leader starts from the beginning.
type syncRequest struct {
	Instance  membership.Instance `json:"instance,omitzero"`
	Brief     *briefInstance      `json:"brief,omitempty"`    // instead of Instance, when the leader has heard the rest
	VoterID   consensus.ID        `json:"voter_id,omitempty"` // of an instance with a log
	Epoch     string              `json:"epoch,omitempty"`
	Members   uint64              `json:"members,omitempty"`   // table revision that is known
	Upstreams uint64              `json:"upstreams,omitempty"` // last batch of the leader that was taken
	Claims    uint64              `json:"claims,omitempty"`    // epoch of claims that is known
	Demand    []quota.Demand      `json:"demand,omitempty"`
	Grants    uint64              `json:"grants,omitempty"`   // round of the leader's grants that it acts on
	Bare      bool                `json:"bare,omitempty"`     // the instance has no settings at all
	Seeking   bool                `json:"seeking,omitempty"`  // no leader has taken the instance in yet
	Known     int                 `json:"known,omitempty"`    // upstreams that it knows
	WaitMs    int64               `json:"wait_ms,omitempty"`  // the leader may hold the answer for so long
	Attach    bool                `json:"attach,omitempty"`   // any voter may answer, leading or not
	Probe     bool                `json:"probe,omitempty"`    // only whether the voter hears a leader is asked; nothing else is set
	Attached  []attachedInstance  `json:"attached,omitempty"` // of a voter: the instances attached to it

	Quarantine *uint64 `json:"quarantine,omitempty"` // version of the quarantined requests that is known; nil: the sender has no use for them

	heard []byte // heard directly and not yet taken by the leader; travels beside the JSON
	mark  uint64 // of a voter: up to where its delivery is in this sync; stays here
	upTo  uint64 // batch up to which heard brings whoever has the ones before; stays here
}

// check refuses a sync that can't come from an instance that works as this one does.
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

// briefInstance is the part of an instance that may change while it runs.
type briefInstance struct {
	Name        string           `json:"n"`
	Incarnation uint64           `json:"i"`
	State       membership.State `json:"s,omitempty"`
	Revision    uint64           `json:"r,omitempty"`
}

// briefOf returns the part of an instance that may change.
func briefOf(i *membership.Instance) *briefInstance {
	return &briefInstance{Name: i.Name, Incarnation: i.Incarnation, State: i.State, Revision: i.Revision}
}

// of returns the instance that is known, with what a brief statement says of it.
func (b *briefInstance) of(known membership.Instance) membership.Instance {
	known.Incarnation, known.State, known.Revision = b.Incarnation, b.State, b.Revision
	return known
}

// syncResponse answers a syncRequest.
type syncResponse struct {
	Leader      string             `json:"leader,omitempty"`   // control address of the leader, if known
	Redirect    bool               `json:"redirect,omitempty"` // this voter does not lead; nothing else is set
	Restate     bool               `json:"restate,omitempty"`  // the brief instance is not known here: state it whole
	Superseded  uint64             `json:"superseded,omitempty"`
	Epoch       string             `json:"epoch,omitempty"`
	LeaseMs     int64              `json:"lease_ms,omitempty"` // 0: no lease
	Revision    uint64             `json:"revision,omitempty"`
	Text        []byte             `json:"text,omitempty"` // when the instance has an older revision
	Members     memberDelta        `json:"member_delta,omitzero"`
	Settled     bool               `json:"settled,omitempty"` // the leader knows every instance that lives
	MembersAt   uint64             `json:"members_at,omitempty"`
	HeldMs      int64              `json:"held_ms,omitempty"`     // how long the leader held the sync
	HeardUpTo   uint64             `json:"heard_up_to,omitempty"` // last batch of this instance that the leader took
	Grants      []quota.Grant      `json:"grants,omitempty"`
	GrantsAt    uint64             `json:"grants_at,omitempty"`
	Voters      []consensus.Member `json:"voters,omitempty"`
	Provisional *provisional       `json:"provisional,omitempty"` // of one that does not lead, for a bare instance
	Claims      claim.Epoch        `json:"claims,omitzero"`       // who votes on claims, when that is news
	Detached    bool               `json:"detached,omitempty"`    // the voter that answers an attached instance hears no leader
	Taken       bool               `json:"taken,omitempty"`       // a leader has taken the attached instance in
	Unknown     []string           `json:"unknown,omitempty"`     // attached instances that must be stated whole

	Quarantine *quarantine.List `json:"quarantine,omitempty"` // when it is news

	SupersededAttached map[string]uint64 `json:"superseded_attached,omitempty"` // attached instances of which a higher incarnation is known

	upstreams []byte // heard by the leader and not yet taken; travels beside the JSON
	leaves    bool   // the sync may have told of an upstream that leaves, which the leader must have before this is sent
}
