package control

import (
	"context"
	"sync/atomic"
	"time"

	"celeryport/rpc"
)

// searchAnswer is what one voter said to an instance that knows no leader.
type searchAnswer struct {
	target   string
	sentAt   time.Time
	response *syncResponse
	err      error
}

// search asks all known voters at once, so that the instance finds a new leader as
// soon as there is one. Asked one after the other, a voter without power costs a
// whole timeout each time, and the others still name it as the leader: instances
// then stayed on old settings for three seconds after a new leader was there.
func (n *Node) search(ctx context.Context, request *syncRequest) error {
	var addresses []string
	var defunct bool
	err := n.do(ctx, func(time.Time) { addresses, defunct = n.core.voterAddresses(), n.core.defunct })
	if err != nil {
		return err
	}
	if defunct || len(addresses) == 0 {
		return errNoVoter
	}
	asking, cancel := context.WithTimeout(ctx, n.opts.Timing.Search)
	defer cancel()
	answers := make(chan searchAnswer, 2*len(addresses)) // room for one redirection each
	asked := map[string]bool{}
	var heard atomic.Bool
	ask := func(target string) {
		asked[target] = true
		go n.searchOne(asking, target, *request, &heard, answers)
	}
	for _, address := range addresses {
		ask(address)
	}
	for waiting := len(asked); waiting > 0; waiting-- {
		answer := <-answers
		if answer.err != nil {
			continue
		}
		if answer.response.Redirect {
			given := answer.response.Provisional
			if err := n.do(ctx, func(now time.Time) { n.core.takeProvisional(now, given) }); err != nil {
				return err
			}
			if leader := answer.response.Leader; leader != "" && !asked[leader] {
				ask(leader)
				waiting++
			}
			continue
		}
		return n.take(ctx, &answer)
	}
	return errNoVoter
}

// searchOne asks one voter. An instance without settings, which serves nobody, asks
// again until some voter was heard: after a loss of power it is there before the
// voters, and what it sent until then is lost or refused. In ten losses of power the
// middle instance had settings 0.21 s after the first voter was back when it looked for
// voters every 0.6 s, and has them after 0.10 s.
func (n *Node) searchOne(ctx context.Context, target string, request syncRequest, heard *atomic.Bool, answers chan<- searchAnswer) {
	answer := searchAnswer{target: target}
	request.WaitMs = 0
	for bound := n.opts.Timing.Look; ; bound *= 2 {
		answer.sentAt = n.clock.Now()
		asking := ctx
		if request.Bare {
			asking = rpc.WithDialBound(ctx, bound)
		}
		answer.response, answer.err = n.callSync(asking, target, &request)
		if answer.err == nil {
			heard.Store(true)
		}
		if answer.err == nil || !request.Bare || heard.Load() || !n.pause(ctx, n.opts.Timing.Look) {
			break
		}
	}
	answers <- answer
}

// take gives an answer to the control goroutine.
func (n *Node) take(ctx context.Context, a *searchAnswer) error {
	var taken error
	err := n.do(ctx, func(now time.Time) { taken = n.core.takeSync(now, a.sentAt, a.target, a.response) })
	if err != nil {
		return err
	}
	return taken
}
