package control

import (
	"context"
	"encoding/json"
	"io/fs"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/consensus"
	"celeryport/event"
	"celeryport/settings"
	"celeryport/wal"
)

// commandHello is the command by which voters learn the IDs of each other's data folders
// before the group is founded.
const commandHello = "voter.hello"

// helloResponse identifies the data folder of a voter and states whether it already
// knows of a group.
type helloResponse struct {
	ID       consensus.ID             `json:"id"`
	Founded  bool                     `json:"founded"`
	Awaits   bool                     `json:"awaits"`             // it awaits the founding, and may found the group itself
	Founding *consensus.Configuration `json:"founding,omitempty"` // founding configuration, if this voter is a founding member
}

// runFounding determines how this voter joins the group.
//
// A voter that lost its disk and starts with its original settings must not found the
// group again: it could vote under its old identity and help to elect a leader that lacks
// accepted changes. Therefore the ID of a voter belongs to its data folder, the group is
// founded once, by the first voter in the settings that awaits the founding and only when all of
// them answer and none knows of a group, and the other voters take part only if the founding
// configuration contains the ID of their present folder.
//
// A voter that does not await the founding and knows of no group lost its process, or its disk, before
// the founding. The others found the group with it.
//
// A voter that waits keeps the voters that found the group in its data folder: when it is restarted
// before the group is founded, its settings may already state that it must not found a group.
func (n *Node) runFounding(ctx context.Context) error {
	var progress foundingProgress
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
		if progress.began.IsZero() {
			progress.began = time.Now()
			eventFounding.Log(n.log, event.Fields{"voters": founders})
		}
		progress.round()
		founding, decided := n.decideFounding(ctx, founders, &progress)
		if decided {
			return n.begin(ctx, founding)
		}
		if now := time.Now(); progress.due(now) {
			eventFoundingWaits.Log(n.log, progress.fields(now))
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

// decideFounding asks all voters and returns the founding configuration, or an empty one if
// this voter is not a member.
func (n *Node) decideFounding(ctx context.Context, founders []settings.Member, progress *foundingProgress) (consensus.Configuration, bool) {
	var all consensus.Configuration
	complete, founder := true, ""
	for _, voter := range founders {
		hello, err := n.hello(ctx, voter.Address)
		if err != nil {
			complete = false
			progress.missing(voter.Address, err)
			continue
		}
		if hello.Founding != nil && hello.Founding.Voter(n.core.group.id) {
			return *hello.Founding, true
		}
		if hello.Founded {
			return consensus.Configuration{}, true
		}
		all.Voters = append(all.Voters, consensus.Member{ID: hello.ID, Address: voter.Address})
		if hello.Awaits && founder == "" {
			founder = voter.Address
		}
	}
	progress.founder = founder
	return all, complete && founder == n.opts.controlAddress()
}

func (n *Node) hello(ctx context.Context, address string) (*helloResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.Timing.Call)
	defer cancel()
	body, err := n.Ask(ctx, address, commandHello, nil)
	if err != nil {
		return nil, err
	}
	var hello helloResponse
	return &hello, json.Unmarshal(body, &hello)
}

// answerHello is the handler of commandHello.
func (n *Node) answerHello(ctx context.Context, _ []byte) ([]byte, error) {
	var hello helloResponse
	err := n.do(ctx, func(time.Time) {
		g := n.core.group
		if g == nil {
			return
		}
		hello = helloResponse{ID: g.id, Founded: g.knowsGroup(), Awaits: g.awaitsFounding(), Founding: g.founding}
	})
	if err != nil {
		return nil, err
	}
	if hello.ID == "" {
		return nil, errNotVoter
	}
	return json.Marshal(hello)
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
