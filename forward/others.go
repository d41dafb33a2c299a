package forward

import (
	"context"
	"time"

	"celeryport/event"
	"celeryport/loadshare"
	"celeryport/rpc"
	"celeryport/transit"
)

// others returns what the other instances replied lately to the question whether they serve a service,
// false if they are being asked.
func (s *Server) others(service string) (transit.Finding, bool) {
	return s.fleet.transits.Others(s.options.Plane.View().Instances, service, s.draw, func(f transit.Finding) {
		if f.Others == transit.OthersReachNone {
			eventServedNowhere.Log(s.options.Log, event.Fields{"service": service, "asked": f.Asked})
		}
	})
}

// mayHandOver reports whether another instance may handle the call.
func (x *exchange) mayHandOver() bool { return x.transit == nil && !x.peersDeclined }

// serves reports whether this instance handles calls to a service for another one that has no paths to
// it. An older instance states no service and finds out with its first call.
func (s *Server) serves(ctx context.Context, ask rpc.TransitAsk) bool {
	switch {
	case ask.Service == "":
		return true
	case !ask.Verify:
		return !s.fleet.paths.Lost(ask.Service)
	}
	ctx, cancel := context.WithTimeout(ctx, rpc.TransitVerifyTimeout)
	defer cancel()
	return s.fleet.paths.Reaches(ctx, ask.Service, ask.Within)
}

// findsEnded reports whether the upstream of which another instance asks has ended, as far as the attempts of
// this one show. It makes a new one.
func (s *Server) findsEnded(ctx context.Context, ask rpc.TransitAsk) bool {
	n := s.fleet.nodeWith(loadshare.Key(ask.Upstream))
	if ask.Upstream == 0 || n == nil {
		return false
	}
	changed := s.fleet.contactChange()
	s.fleet.retryContact(n)
	awaitChange(ctx, changed, rpc.TransitVerifyTimeout/2) // the rest is for the service
	return !s.fleet.paths.Await(n.service) && s.fleet.recentlyEnded(time.Now(), n)
}

// canTell reports whether this instance knows the upstreams and goes on to handle calls.
func (s *Server) canTell() bool {
	view := s.options.Plane.View()
	return view != nil && view.Tree != nil && view.Tree.Forwarding != nil && s.draining.Load() == nil
}
