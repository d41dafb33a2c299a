package forward

import (
	"slices"
	"time"

	"celeryport/arbiter"
	"celeryport/loadshare"
	"celeryport/outlier"
	"celeryport/settings"
)

// arbiterFleetSource implements arbiter.FleetSource with this instance's view of the fleet.
type arbiterFleetSource struct {
	server *Server
	now    time.Time
}

// Fleet implements arbiter.FleetSource.
func (w *arbiterFleetSource) Fleet(service string) *arbiter.Fleet {
	view := w.server.options.Plane.View()
	profile := engineProfile(view.Tree, service)
	if profile == nil {
		return nil
	}
	f := w.server.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paths.Lost(service) {
		return nil // its view of the engines is that of a partition
	}
	unlimited, withRoom, full := f.candidates(w.now, view.Upstreams, service)
	unlimited.join(withRoom)
	if len(unlimited.nodes) == 0 && full > 0 {
		return nil // each instance places its own prompts within its share of the rates
	}
	fleet := &arbiter.Fleet{
		Profile: profile, Engines: unlimited.engines,
		Incomplete: !w.server.viewComplete(w.now), EndRate: f.endRate(w.now, service),
	}
	for i, n := range unlimited.nodes {
		fleet.Keys = append(fleet.Keys, n.key)
		if n.verdict == outlier.Probe || n.verdict == outlier.LateProbe {
			fleet.Engines[i].Failing, fleet.Engines[i].Avoid = true, true // the prompts of all instances would be probes
		}
	}
	return fleet
}

func engineProfile(tree *settings.Tree, service string) *settings.EngineProfile {
	if tree == nil || tree.Forwarding == nil {
		return nil
	}
	if found := tree.Forwarding.Service(service); found != nil {
		return found.Engine
	}
	return nil
}

// Granted implements arbiter.FleetSource.
func (w *arbiterFleetSource) Granted(ask *arbiter.Request, answer *arbiter.Answer) {
	view := w.server.options.Plane.View()
	profile := engineProfile(view.Tree, ask.Service)
	if profile == nil {
		return // the service was removed after the placement
	}
	f := w.server.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := answer.Loads(profile, ask)
	for _, n := range f.nodes {
		if load, given := loads[n.key]; given {
			f.rates.limiter.Take(w.now, n.key)
			load.PrefillTime += f.loadOf(w.now, n).PrefillTime
			n.granted = append(n.granted, grant{ask: ask.ID, load: load, at: w.now, retention: grantRetentionFor(len(view.Instances))})
		}
	}
}

// grant is a load that the arbiter recently assigned to a node.
type grant struct {
	ask       string // ID of the ask
	load      loadshare.Load
	at        time.Time
	retention time.Duration // until the asking instance's reports include its streams and memory
}

// remainingLoad returns the load that a grant still adds to its node; the last result is false
// when none is left. The prefill time counts until its predicted end: the reports of the asking
// instance's availability zone may be missing for a second after the loss of the instance that
// relays them, and counting it twice does no harm, because prefill times are combined by their
// maximum.
func (g *grant) remainingLoad(now time.Time) (loadshare.Load, bool) {
	passed := now.Sub(g.at)
	left := g.load.After(passed)
	if passed < g.retention {
		return left, true
	}
	return loadshare.Load{PrefillTime: left.PrefillTime}, left.PrefillTime > 0
}

// revokeGrant removes the loads granted to an ask, because its prompt is being placed again.
func (f *fleet) revokeGrant(ask string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		n.granted = slices.DeleteFunc(n.granted, func(g grant) bool { return g.ask == ask })
	}
}
