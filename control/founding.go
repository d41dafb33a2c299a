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
	"celeryport/wal"
)

// commandHello is the command by which voters learn the IDs of each other's data folders
// before the group is founded.
const commandHello = "voter.hello"

// helloResponse identifies the data folder of a voter and states whether it already
// belongs to a group.
type helloResponse struct {
	ID       consensus.ID             `json:"id"`
	Founded  bool                     `json:"founded"`
	Founding *consensus.Configuration `json:"founding,omitempty"` // founding configuration, if this voter is a founding member
}

// runFounding determines how this voter joins the group.
//
// A voter that lost its disk and starts with its original settings must not found the
// group again: it could vote under its old identity and help to elect a leader that lacks
// accepted changes. Therefore the ID of a voter belongs to its data folder, the group is
// founded once, by the first voter in the settings and only when all of them answer, and
// the other voters take part only if the founding configuration contains the ID of their
// present folder.
func (n *Node) runFounding(ctx context.Context) error {
	var waits bool
	if err := n.do(ctx, func(time.Time) { waits = n.core.group != nil && n.core.group.awaitsFounding() }); err != nil || !waits {
		return err
	}
	eventFounding.Log(n.log, event.Fields{"voters": n.opts.Process.Voters})
	for {
		founding, decided := n.decideFounding(ctx)
		if decided {
			return n.begin(ctx, founding)
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
		stopped = n.do(ctx, func(time.Time) { err = n.core.group.begin(founding) })
		return err
	})
	return errors.CombineErrors(stopped, err)
}

// decideFounding asks all voters and returns the founding configuration, or an empty one if
// this voter is not a member.
func (n *Node) decideFounding(ctx context.Context) (consensus.Configuration, bool) {
	var all consensus.Configuration
	complete := true
	for _, voter := range n.opts.Process.Voters {
		hello, err := n.hello(ctx, voter.Address)
		if err != nil {
			complete = false
			continue
		}
		if hello.Founding != nil && hello.Founding.Voter(n.core.group.id) {
			return *hello.Founding, true
		}
		if hello.Founded {
			return consensus.Configuration{}, true
		}
		all.Voters = append(all.Voters, consensus.Member{ID: hello.ID, Address: voter.Address})
	}
	return all, complete && n.isFounder()
}

func (n *Node) isFounder() bool {
	return n.opts.Process.Voters[0].Address == n.opts.controlAddress()
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
		hello = helloResponse{ID: g.id, Founded: !g.awaitsFounding(), Founding: g.founding}
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

// begin starts consensus with the founding configuration. The configuration is synced
// first: a voter that lost it in a crash could take part in a second founding.
func (g *group) begin(founding consensus.Configuration) error {
	if !founding.Voter(g.id) {
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
