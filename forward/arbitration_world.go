package forward

import (
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

// Fleet implements arbiter.World.
func (w *arbiterWorld) Fleet(service string) *arbiter.Fleet {
	view := w.server.options.Plane.View()
	profile := engineProfile(view.Tree, service)
	if profile == nil {
		return nil
	}
	f := w.server.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	nodes, engines := f.candidates(w.now, view.Upstreams, service)
	fleet := &arbiter.Fleet{Profile: profile, Engines: engines}
	for _, n := range nodes {
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

// Granted implements arbiter.World.
func (w *arbiterWorld) Granted(ask *arbiter.Ask, answer *arbiter.Answer) {
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
			load.Reading += f.loadOf(w.now, n).Reading
			n.granted = append(n.granted, grant{load: load, at: w.now, kept: grantsKept(len(view.Instances))})
		}
	}
}

// grant is what the arbiter gave away at a node a moment ago.
type grant struct {
	load loadshare.Load
	at   time.Time
	kept time.Duration // from then on
}
