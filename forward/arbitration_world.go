package forward

import (
	"slices"
	"time"

	"celeryport/arbiter"
	"celeryport/loadshare"
	"celeryport/settings"
)

// arbiterWorld is what this instance knows when it decides for all.
type arbiterWorld struct {
	server *Server
	now    time.Time
}

// Fleet implements arbiter.FleetSource.
func (w *arbiterWorld) Fleet(service string) *arbiter.Fleet {
	view := w.server.options.Plane.View()
	profile := engineProfile(view.Tree, service)
	if profile == nil {
		return nil
	}
	f := w.server.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	free, open, full := f.candidates(w.now, view.Upstreams, service)
	free.join(open)
	if len(free.nodes) == 0 && full > 0 {
		return nil // each instance places by its own part of the rates
	}
	fleet := &arbiter.Fleet{Profile: profile, Engines: free.engines}
	for _, n := range free.nodes {
		fleet.Keys = append(fleet.Keys, n.key)
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
func (w *arbiterWorld) Granted(ask *arbiter.Request, answer *arbiter.Answer) {
	view := w.server.options.Plane.View()
	profile := engineProfile(view.Tree, ask.Service)
	if profile == nil {
		return // the service was removed since the place was given
	}
	f := w.server.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := answer.Loads(profile, ask)
	for _, n := range f.nodes {
		if load, given := loads[n.key]; given {
			f.countLimited(w.now, n)
			load.PrefillTime += f.loadOf(w.now, n).PrefillTime
			n.granted = append(n.granted, grant{ask: ask.ID, load: load, at: w.now, kept: grantsKept(len(view.Instances))})
		}
	}
}

// grant is what the arbiter gave away at a node a moment ago.
type grant struct {
	ask  string // its ID
	load loadshare.Load
	at   time.Time
	kept time.Duration // until the asker's own reports count its streams and memory
}

// loadAt returns what a grant still loads its node with; the last return is false when it
// is nothing any more. The reading counts until its predicted end, since the longer of two
// readings holds: the reports of the asker's availability zone may be missing for a second
// after the loss of the instance that sends them on.
func (g *grant) loadAt(now time.Time) (loadshare.Load, bool) {
	passed := now.Sub(g.at)
	left := g.load.After(passed)
	if passed < g.kept {
		return left, true
	}
	return loadshare.Load{PrefillTime: left.PrefillTime}, left.PrefillTime > 0
}

// voidGrant forgets what an ask was given: its prompt is placed again.
func (f *fleet) voidGrant(ask string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		n.granted = slices.DeleteFunc(n.granted, func(g grant) bool { return g.ask == ask })
	}
}
