package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/rpc"
)

// searchAnswer is the answer of one voter to an instance that knows no leader.
type searchAnswer struct {
	target   string
	sentAt   time.Time
	response *syncResponse
	err      error
	request  *syncRequest
}

// isEmpty reports whether the answer is of no use: it is an error, a redirect that names no
// leader and brings no provisional state, or, for an instance without settings, the answer
// of a voter that has neither settings nor contact with a leader.
func (a *searchAnswer) isEmpty(bare bool) bool {
	switch {
	case a.err != nil:
		return true
	case a.response.Redirect:
		return a.response.Provisional == nil && a.response.Leader == ""
	default:
		return bare && a.response.Detached && len(a.response.Text) == 0
	}
}

// initialTargets divides the voters into those to ask at once and those to ask later.
func initialTargets(voters []string, request *syncRequest) (first, rest []string) {
	if request.Attach || request.Bare {
		return voters[:1], voters[1:]
	}
	return voters, nil
}

// searchTargets lists the voters in the order in which the next search asks them.
func (c *core) searchTargets(request *syncRequest) []string {
	switch {
	case request.Attach:
		return c.choice.SearchOrder(c.attachOrder(c.choice.LastFailed()))
	case request.Bare:
		return c.choice.SearchOrder(rotated(c.voterAddresses(), c.self.Name))
	default:
		return c.voterAddresses()
	}
}

// rotated returns the list rotated by an offset derived from the name.
func rotated(list []string, name string) []string {
	if len(list) == 0 {
		return nil
	}
	at := int(xxhash.Sum64String(name) % uint64(len(list)))
	return append(slices.Clone(list[at:]), list[:at]...)
}

// search asks all known voters at once, so that the instance finds a new leader as soon as
// there is one. If voters were asked in sequence, a voter that has lost power would cost a
// whole timeout each time, while the others still name it as the leader: instances then
// kept old settings for three seconds after a new leader had been elected.
//
// An instance without settings starts with one voter and asks another whenever an answer
// is empty or late. After a restart of the whole fleet all instances request all settings,
// and answering every instance would keep each voter busy for a long time.
func (n *Node) search(ctx context.Context, request *syncRequest) error {
	var addresses []string
	var defunct bool
	err := n.do(ctx, func(time.Time) {
		addresses, defunct = n.core.searchTargets(request), n.core.defunct
	})
	if err != nil {
		return err
	}
	if defunct || len(addresses) == 0 {
		return errNoVoter
	}
	bound, stagger := n.opts.Timing.Search, n.opts.Timing.Stagger
	if request.Attach {
		bound *= attachTimeoutFactor
	}
	asking, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	answers := make(chan searchAnswer, 2*len(addresses)) // includes one redirect for each
	asked := map[string]bool{}
	var answered atomic.Bool
	inTime := 0 // voters that were asked before the search ended
	ask := func(target string) {
		asked[target] = true
		if asking.Err() == nil {
			inTime++
		}
		go n.searchOne(asking, target, *request, &answered, answers)
	}
	first, rest := initialTargets(addresses, request)
	for _, address := range first {
		ask(address)
	}
	next := time.NewTimer(stagger)
	defer next.Stop()
	var emptyAnswer *searchAnswer // of the first voter that answered but had nothing to provide
	for waiting := len(asked); waiting+len(rest) > 0; {
		var answer searchAnswer
		select {
		case answer = <-answers:
			waiting--
		case <-next.C:
			if request.Attach {
				stagger *= 2
			}
			next.Reset(stagger)
		}
		if late := answer.target == ""; late || answer.isEmpty(request.Bare) {
			if emptyAnswer == nil && !late && answer.err == nil && !answer.response.Redirect {
				emptyAnswer = &answer
			}
			if len(rest) > 0 {
				ask(rest[0])
				rest, waiting = rest[1:], waiting+1
			}
			continue
		}
		if answer.response.Redirect {
			given := answer.response.Provisional
			if err := n.do(ctx, func(now time.Time) { n.core.applyProvisional(now, given) }); err != nil {
				return err
			}
			rest = nil // settings have been received, or there is a leader to ask for them
			if leader := answer.response.Leader; leader != "" && !asked[leader] {
				ask(leader)
				waiting++
			}
			continue
		}
		return n.applyAnswer(ctx, &answer)
	}
	if emptyAnswer != nil {
		// No voter has settings yet. The chosen voter holds the next sync until it has;
		// repeated searches by a whole starting fleet would leave the voters no time to
		// elect a leader.
		return n.applyAnswer(ctx, emptyAnswer)
	}
	return errors.CombineErrors(errNoVoter, n.do(ctx, func(time.Time) { n.core.choice.RecordSearch(inTime) }))
}

// attachTimeoutFactor is the factor by which an instance that any voter may answer
// searches longer than one that needs the leader. Each additional voter sends it the whole
// fleet, so it asks further voters after pauses that double: when a large fleet starts,
// voters are slow because all instances ask them, and asking more of them increases the
// load.
const attachTimeoutFactor = 2

// searchOne asks one voter. An instance without settings, which cannot serve requests,
// retries until any voter has answered: after a power failure it may be up before the
// voters, and everything it sent until then is lost or rejected.
func (n *Node) searchOne(ctx context.Context, target string, request syncRequest, answered *atomic.Bool, answers chan<- searchAnswer) {
	answer := searchAnswer{target: target, request: &request}
	request.WaitMs = 0
	for bound := n.opts.Timing.Probe; ; bound *= 2 {
		answer.sentAt = n.clock.Now()
		asking := ctx
		if request.Bare {
			asking = rpc.WithDialTimeout(ctx, bound)
		}
		answer.response, answer.err = n.callSync(asking, target, &request)
		if answer.err == nil {
			answered.Store(true)
		}
		if answer.err == nil || !request.Bare || answered.Load() || !clock.Pause(ctx, n.opts.Timing.Probe) {
			break
		}
	}
	answers <- answer
}

// applyAnswer passes an answer to the control goroutine. Settings in it are parsed and
// stored here first, and the parse result is cached for the installation: parsing a document
// of a thousand routes on a small processor, and syncing it to a slow disk, take longer than
// an election timeout, and would delay consensus on the control goroutine.
func (n *Node) applyAnswer(ctx context.Context, a *searchAnswer) error {
	if len(a.response.Text) > 0 {
		if _, err := n.parsed.parse("accepted settings", a.response.Text); err == nil { // the installation meets the same errors, and logs them
			_ = n.core.installed.stored.store(n.core.installed.folder, a.response.Revision, a.response.Text)
		}
	}
	var applyErr error
	err := n.do(ctx, func(now time.Time) { applyErr = n.core.applySync(now, a) })
	if err != nil {
		return err
	}
	return applyErr
}
