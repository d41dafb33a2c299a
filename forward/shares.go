package forward

import (
	"sync"
	"time"

	"celeryport/control"
	"celeryport/fairshare"
	"celeryport/forward/telemetry"
	"celeryport/placement"
	"celeryport/quota"
	"celeryport/settings"
	"celeryport/verdict"
)

// shares connects package fairshare to the calls of this instance and to the grants of the control
// group. A nil *shares is switched off: it counts nothing and refuses nothing.
type shares struct {
	plane   Plane
	metrics *telemetry.ShareMetrics

	mu     sync.Mutex
	ledger *fairshare.Ledger
	floor  *fairshare.Floor
	round  uint64 // of the grants applied last
}

// newShares returns nil unless the process settings enable organisation shares.
func newShares(options *Options) *shares {
	if !options.Process.OrganisationShares {
		return nil
	}
	return &shares{
		plane: options.Plane, metrics: &options.Metrics.Shares,
		ledger: fairshare.NewLedger(), floor: fairshare.NewFloor(),
	}
}

// Demands returns the demand of each organisation that this instance has seen in the last seconds,
// for the control group.
func (s *Server) Demands() []quota.Demand {
	h := s.shares
	if h == nil {
		return nil
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyGrants(now, h.plane.View())
	demands := h.ledger.Demands(now)
	h.metrics.Show(demands, func(organisation string) fairshare.Standing { return h.ledger.Standing(now, organisation) })
	return demands
}

// applyGrants applies the grants of a view once. The lock must be held.
func (h *shares) applyGrants(now time.Time, view *control.View) {
	if view == nil || view.GrantRound == h.round {
		return
	}
	h.round = view.GrantRound
	h.ledger.Apply(now, view.Grants)
}

// weightOf returns the weight of an organisation in the settings, 0 if there is none.
func weightOf(tree *settings.Tree, organisation string) float64 {
	for i := range tree.Organisations {
		if tree.Organisations[i].Name == organisation {
			return tree.Organisations[i].Weight
		}
	}
	return 0
}

// shares returns the shares that apply to a call, nil if none do: the call has no organisation or
// is not served by engines.
func (x *exchange) shares() *shares {
	if x.organisation == "" || x.service == nil || x.service.Engine == nil || x.call.PromptTokens == 0 {
		return nil
	}
	return x.server.shares
}

func (x *exchange) engineTime() time.Duration {
	return fairshare.EngineTime(x.service.Engine, x.call.PromptTokens, x.call.AnswerTokens)
}

// countOffered counts an incoming call.
func (x *exchange) countOffered(now time.Time) {
	h := x.shares()
	if h == nil {
		return
	}
	view := h.plane.View()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.Offered(now, x.organisation, weightOf(view.Tree, x.organisation), x.engineTime())
	if x.isLong() {
		x.assured = h.floor.Take(now, x.floorKey(), x.server.draw())
	}
}

// countPlaced counts a send of the call.
func (x *exchange) countPlaced(now time.Time) {
	h := x.shares()
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.Served(now, x.organisation, x.engineTime())
}

func (x *exchange) floorKey() fairshare.FloorKey {
	return fairshare.FloorKey{Organisation: x.organisation, Route: x.route.Name, Long: x.isLong()}
}

// refuseAboveShare refuses the first send of a short prompt if its organisation is far above its
// share while no slot is free. A call that was sent or resumed before is never refused: its engine
// time is already spent.
func (x *exchange) refuseAboveShare(now time.Time, engines []placement.Engine) error {
	h := x.shares()
	if h == nil || x.sends > 0 || x.call.Resumes || x.answerBegun() || x.isLong() || x.withinShare {
		return nil
	}
	free := placement.HasFreeSlot(x.service.Engine, engines)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyGrants(now, h.plane.View())
	decision := fairshare.Admit(now, h.ledger.Standing(now, x.organisation), free, h.floor, x.floorKey(), x.server.draw())
	if !decision.Refused {
		x.withinShare = true
		return nil
	}
	h.metrics.Refused(x.organisation)
	h.ledger.Refused(now, x.organisation)
	back := x.retryAfter(x.deadline.Sub(now), decision.Excess)
	return verdict.Refuse(verdict.ReasonShare, back, "organisation %s demands more than twice its share of the engines and gets its share; no engine has a free slot", x.organisation)
}

// askShares adds to an ask what the arbiter needs for the order by shares.
func (x *exchange) askShares(organisation *string, assured *bool) {
	if x.shares() != nil {
		*organisation, *assured = x.organisation, x.assured
	}
}

// watchShares keeps the totals of the organisation of an ask granted to this instance, which is
// the arbiter of it.
func (s *Server) watchShares(organisation string) {
	h := s.shares
	if h == nil || organisation == "" {
		return
	}
	view := h.plane.View()
	if view.Tree == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.Watch(time.Now(), organisation, weightOf(view.Tree, organisation))
}

// Standing implements arbiter.Shares.
func (h *shares) Standing(now time.Time, organisation string) fairshare.Standing {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyGrants(now, h.plane.View())
	return h.ledger.Standing(now, organisation)
}
