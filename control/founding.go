package control

import (
	"context"
	"encoding/json"
	"io/fs"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/consensus"
	"celeryport/control/agreement"
	"celeryport/event"
	"celeryport/settings"
	"celeryport/wal"
)

// runFounding determines how this voter joins the group.
//
// A voter that lost its disk must not found the group again: it could vote under its old identity and
// help to elect a leader that lacks accepted changes. Therefore the ID of a voter belongs to its data
// folder, the founding configuration is decided once, by agreement.Proposal, and voters take part only if
// it contains the ID of their present folder. Only where leaders maintain the voters automatically may a
// majority of initial voters decide without the others: voters that lost their disks are not started there
// with settings that let them found a group.
//
// A voter that does not await the founding and knows of no group lost its process, or its disk, before
// the founding. The others found the group with it.
//
// A voter that waits keeps the voters that found the group in its data folder: when it is restarted
// before the group is founded, its settings may already state that it must not found a group.
func (n *Node) runFounding(ctx context.Context) error {
	attempt := foundingAttempt{known: map[string]consensus.ID{}}
	for {
		var founders []settings.Member
		err := n.do(ctx, func(time.Time) {
			if g := n.core.group; g != nil && g.awaitsFounding() {
				founders = g.founders
			}
		})
		if err != nil || len(founders) == 0 {
			return err
		}
		if attempt.progress.began.IsZero() {
			attempt.progress.began = time.Now()
			eventFounding.Log(n.log, event.Fields{"voters": founders})
		}
		attempt.rules = agreement.Rules{
			Voters: addressesOf(founders), Majority: n.opts.Heal > 0, Wait: n.opts.Timing.Founding,
		}
		founding, decided := n.decideFounding(ctx, &attempt)
		if decided {
			return n.begin(ctx, founding)
		}
		if now := time.Now(); attempt.progress.due(now) {
			eventFoundingWaits.Log(n.log, attempt.progress.fields(now))
		}
		if !clock.Pause(ctx, n.opts.Timing.Retry) {
			return ctx.Err()
		}
	}
}

// begin starts consensus once the founding configuration could be stored.
func (n *Node) begin(ctx context.Context, founding consensus.Configuration) error {
	var stopped error
	err := wal.Await(ctx, n.opts.Process.DataFolder, n.log, func() error {
		var err error
		stopped = n.do(ctx, func(time.Time) {
			if n.core.group.awaitsFounding() {
				err = n.core.group.begin(founding)
			}
		})
		return err
	})
	return errors.CombineErrors(stopped, err)
}

// awaitsFounding reports whether it is still undecided how this voter joins the group.
func (g *group) awaitsFounding() bool { return g.node == nil && g.failed == nil }

// knowsGroup reports whether this voter knows of a control group, as a member, as one that the group
// was founded without, or from settings that the group accepted. If its folder failed, it may.
func (g *group) knowsGroup() bool {
	return g.founding != nil || g.excluded || g.failed != nil || g.core.installed.revision() > 0 ||
		g.node != nil && g.node.Status().Term > 0
}

// begin starts consensus with the founding configuration. The configuration is synced
// first: a voter that lost it in a crash could take part in a second founding.
func (g *group) begin(founding consensus.Configuration) error {
	if !founding.Voter(g.id) {
		if err := g.core.installed.folder.write(foundersFile, []byte("[]")); err != nil {
			return err
		}
		g.excluded = true
		eventNotMember.Log(g.core.log, event.Fields{"id": g.id})
		return g.start(consensus.Configuration{})
	}
	data, err := json.Marshal(founding)
	if err != nil {
		return errors.Wrap(err, "encode the founding configuration")
	}
	if err := g.core.installed.folder.write(foundingFile, data); err != nil {
		return err
	}
	g.founding = &founding
	eventFounded.Log(g.core.log, event.Fields{"id": g.id, "voters": founding.Voters})
	return g.start(founding)
}

// loadFounding reads the founding configuration of this data folder, nil if there is none.
func loadFounding(folder dataFolder) (*consensus.Configuration, error) {
	data, err := folder.read(foundingFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the founding configuration")
	}
	var founding consensus.Configuration
	return &founding, errors.Wrap(json.Unmarshal(data, &founding), "the founding file is damaged")
}

// awaitFounders sets the voters whose founding of the group this voter has to await, none if it takes no
// part in one. A voter that a group was founded without awaits no other founding, whatever its settings
// say: if all voters that they name were such voters, these would found a second group.
func (g *group) awaitFounders(folder dataFolder) error {
	data, err := folder.read(foundersFile)
	switch {
	case err == nil:
		if err := json.Unmarshal(data, &g.founders); err != nil {
			return errors.Wrap(err, "the file of the founders is damaged")
		}
		g.excluded = len(g.founders) == 0
	case !errors.Is(err, fs.ErrNotExist):
		return errors.Wrap(err, "read the founders")
	}
	process := g.core.node.opts.Process
	switch {
	case g.excluded:
		return nil
	case g.core.node.namedAsVoter():
		if len(g.founders) > 0 && !sameAddresses(addressesOf(g.founders), addressesOf(process.Voters)) {
			reassigned := g.acceptor
			reassigned.Reassigned = true
			if err := g.storeAcceptor(reassigned); err != nil {
				return err
			}
		}
		g.founders = process.Voters
		data, err := json.Marshal(g.founders)
		if err != nil {
			return errors.Wrap(err, "encode the founders")
		}
		return folder.write(foundersFile, data)
	case process.MayFoundGroup:
		g.founders = nil
	}
	return nil
}

// joinFounded makes a voter that awaits the founding join a group whose member at an address contacts
// it, unless it learns of the group from the founders.
func (g *group) joinFounded(now time.Time, address string) {
	for _, founder := range g.founders {
		if founder.Address == address {
			return
		}
	}
	if err := g.begin(consensus.Configuration{}); err != nil {
		g.fail(now, err)
	}
}
