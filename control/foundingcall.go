package control

import (
	"context"
	"encoding/json"
	"io/fs"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/consensus"
	"celeryport/control/agreement"
	"celeryport/settings"
	"celeryport/verdict"
)

const (
	// commandHello is the command by which voters learn the IDs of each other's data folders
	// before the group is founded.
	commandHello = "voter.hello"
	// commandPropose carries an agreement.Request.
	commandPropose = "voter.propose"
)

// helloResponse identifies the data folder of a voter and states whether it already
// knows of a group.
type helloResponse struct {
	ID       consensus.ID             `json:"id"`
	Founded  bool                     `json:"founded"`
	Awaits   bool                     `json:"awaits"`             // it awaits the founding, and may found the group itself
	Initial  bool                     `json:"initial"`            // it counts towards a majority that founds the group
	Founding *consensus.Configuration `json:"founding,omitempty"` // founding configuration, if this voter knows it
}

// errGroupKnown refuses a proposal after the founding.
var errGroupKnown = verdict.Refuse(verdict.ReasonConflict, 0, "the voter knows of a control group")

// errOtherFounders refuses a proposal for other founding voters than those of the settings.
var errOtherFounders = verdict.Refuse(verdict.ReasonConflict, 0, "the settings of the voter name other voters that found the group")

// foundingAttempt is what a voter that awaits the founding has learnt so far.
type foundingAttempt struct {
	progress foundingProgress
	rules    agreement.Rules
	wait     agreement.Wait
	known    map[string]consensus.ID // folder IDs that voters stated last, by control address
	number   uint64                  // highest ballot number seen
	decided  bool                    // this voter has stated the configuration to others, without being a member
}

// decideFounding asks all voters, proposes a founding configuration if this voter is to, and returns the
// configuration once it is decided, or an empty one if this voter is not a member.
func (n *Node) decideFounding(ctx context.Context, a *foundingAttempt) (consensus.Configuration, bool) {
	a.progress.round()
	answers := ask(ctx, n, a.rules.Voters, commandHello, nil, a.progress.missing, func(_ string, hello helloResponse) bool {
		return hello.Founding != nil && hello.Founding.Voter(n.core.group.id)
	})
	founded, present := false, map[string]agreement.Present{}
	for address, hello := range answers {
		if hello.Founding != nil && hello.Founding.Voter(n.core.group.id) {
			return *hello.Founding, true
		}
		founded = founded || hello.Founded
		a.known[address] = hello.ID
		present[address] = agreement.Present{Initial: hello.Initial, Awaits: hello.Awaits}
	}
	if founded {
		return consensus.Configuration{}, true
	}
	a.progress.founder = agreement.Founder(&a.rules, present)
	proposer, partial := a.wait.Round(n.clock.Now(), &a.rules, present)
	if proposer != n.opts.controlAddress() || a.decided {
		return consensus.Configuration{}, false
	}
	chosen := n.proposeFounding(ctx, a, partial)
	if chosen == nil {
		return consensus.Configuration{}, false
	}
	if !chosen.Voter(n.core.group.id) {
		// The members may not know yet that it is decided. They learn it from this voter, which waits
		// for the first of them to begin.
		err := n.do(ctx, func(time.Time) { n.core.group.decided = chosen })
		a.decided = err == nil
		return consensus.Configuration{}, false
	}
	return *chosen, true
}

// proposeFounding makes one proposal and returns the founding configuration if it is decided, nil if not.
func (n *Node) proposeFounding(ctx context.Context, a *foundingAttempt, partial bool) *consensus.Configuration {
	var last agreement.Ballot
	if err := n.do(ctx, func(time.Time) { last = n.core.group.acceptor.Promised }); err != nil {
		a.progress.missing(n.opts.controlAddress(), err)
		return nil
	}
	a.number = max(a.number, last.Number) + 1
	ballot := agreement.Ballot{Number: a.number, Proposer: n.core.group.id}
	p := agreement.NewProposal(a.rules, ballot, partial, a.known)
	promised := func(address string, answer agreement.Answer) bool {
		p.Promised(address, answer)
		return p.Prepare()
	}
	accepted := func(address string, answer agreement.Answer) bool {
		p.Accepted(address, answer)
		return p.Chosen() != nil
	}
	if !n.askProposal(ctx, a, p, promised) || !n.askProposal(ctx, a, p, accepted) {
		return nil
	}
	return p.Chosen()
}

// askProposal sends the present request of a proposal until enough voters have granted it, and reports whether
// they have. This voter is asked first: the ballot would not be unique otherwise.
func (n *Node) askProposal(ctx context.Context, a *foundingAttempt, p *agreement.Proposal, count func(string, agreement.Answer) bool) bool {
	self := n.opts.controlAddress()
	body, err := json.Marshal(p.Request())
	if err != nil {
		a.progress.missing(self, err)
		return false
	}
	enough := false
	counted := func(address string, answer agreement.Answer) bool {
		a.number = max(a.number, answer.Promised.Number)
		enough = count(address, answer)
		return enough
	}
	own := ask(ctx, n, []string{self}, commandPropose, body, a.progress.missing, counted)
	if enough || !own[self].Granted {
		return enough
	}
	others := slices.DeleteFunc(slices.Clone(a.rules.Voters), func(address string) bool { return address == self })
	ask(ctx, n, others, commandPropose, body, a.progress.missing, counted)
	return enough
}

// ask sends a command to instances at the same time until one of the answers is the last one needed, and returns
// the answers by address. Missing is called for each address without an answer.
func ask[R any](ctx context.Context, n *Node, addresses []string, command string, body []byte,
	missing func(address string, err error), last func(address string, answer R) bool,
) map[string]R {
	ctx, cancel := context.WithTimeout(ctx, n.opts.Timing.Call)
	defer cancel()
	var mutex sync.Mutex
	var group sync.WaitGroup
	answers, done := map[string]R{}, false
	for _, address := range addresses {
		group.Go(func() {
			var answer R
			data, err := n.Ask(ctx, address, command, body)
			if err == nil {
				err = json.Unmarshal(data, &answer)
			}
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case done: // the call may have been cancelled for that
			case err != nil:
				missing(address, err)
			default:
				answers[address] = answer
				if done = last(address, answer); done {
					cancel()
				}
			}
		})
	}
	group.Wait()
	return answers
}

// answerHello is the handler of commandHello.
func (n *Node) answerHello(ctx context.Context, _ []byte) ([]byte, error) {
	var hello helloResponse
	err := n.do(ctx, func(time.Time) {
		g := n.core.group
		if g == nil {
			return
		}
		hello = helloResponse{
			ID: g.id, Founded: g.knowsGroup(), Awaits: g.awaitsFounding(), Initial: g.initial(), Founding: g.founding,
		}
		if hello.Founding == nil {
			hello.Founding = g.decided
		}
	})
	if err != nil {
		return nil, err
	}
	if hello.ID == "" {
		return nil, errNotVoter
	}
	return json.Marshal(hello)
}

// answerProposal is the handler of commandPropose.
func (n *Node) answerProposal(ctx context.Context, body []byte) ([]byte, error) {
	request, err := decode[agreement.Request](body)
	if err != nil {
		return nil, err
	}
	var answer agreement.Answer
	var refused error
	err = n.do(ctx, func(time.Time) {
		g := n.core.group
		if g == nil {
			refused = errNotVoter
			return
		}
		answer, refused = g.answerProposal(request)
	})
	if err := errors.CombineErrors(err, refused); err != nil {
		return nil, err
	}
	return json.Marshal(answer)
}

// answerProposal stores what it grants before it returns.
func (g *group) answerProposal(request *agreement.Request) (agreement.Answer, error) {
	if g.knowsGroup() {
		return agreement.Answer{}, errGroupKnown
	}
	if g.awaitsFounding() && !sameAddresses(addressesOf(g.founders), request.Voters) {
		return agreement.Answer{}, errOtherFounders
	}
	next, granted := g.acceptor.Handle(request)
	if granted {
		if err := g.storeAcceptor(next); err != nil {
			return agreement.Answer{}, err
		}
	}
	return agreement.Answer{
		ID: g.id, Initial: g.initial(), Granted: granted,
		Promised: g.acceptor.Promised, Accepted: g.acceptor.Accepted, Value: g.acceptor.Value,
	}, nil
}

// initial reports whether this voter counts towards a majority that founds the group.
func (g *group) initial() bool {
	return g.awaitsFounding() && len(g.founders) > 0 && !g.acceptor.Reassigned && !g.groupSeen
}

func (g *group) storeAcceptor(next agreement.Acceptor) error {
	data, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the promise of the founding")
	}
	if err := g.core.installed.folder.write(acceptorFile, data); err != nil {
		return err
	}
	g.acceptor = next
	return nil
}

// loadAcceptor reads what this data folder has promised, nothing if there is no such file.
func loadAcceptor(folder dataFolder) (agreement.Acceptor, error) {
	var acceptor agreement.Acceptor
	data, err := folder.read(acceptorFile)
	if errors.Is(err, fs.ErrNotExist) {
		return acceptor, nil
	}
	if err != nil {
		return acceptor, errors.Wrap(err, "read the promise of the founding")
	}
	return acceptor, errors.Wrap(json.Unmarshal(data, &acceptor), "the file of the promise is damaged")
}

func addressesOf(members []settings.Member) []string {
	var addresses []string
	for _, m := range members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// sameAddresses reports whether two lists name the same voters, in any order.
func sameAddresses(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}
