package entry

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/control"
	"celeryport/membership"
	"celeryport/verdict"
)

const (
	defaultKeepSeconds = 10
	zoneParameter      = "availability_zone"
	// addressesRetryAfter is the Retry-After of a lookup at an instance that knows of no live one.
	addressesRetryAfter = time.Second
)

// addresses serves GET /v1/addresses. It lists the live instances, those in the
// caller's availability zone first. The order within a zone is random, to spread
// callers over the instances.
func (s *Server) addresses(ctx *fasthttp.RequestCtx) {
	zone := string(ctx.QueryArgs().Peek(zoneParameter))
	if zone == "" {
		zone = s.options.Process.AvailabilityZone
	}
	view := s.options.Plane.View()
	found := s.advertisedInstances(view, zone)
	if len(found) == 0 { // callers would keep the empty list
		writeError(ctx, verdict.Refuse(verdict.ReasonNoLease, addressesRetryAfter, "no live instance is known here"), nil)
		return
	}
	writeJSON(ctx, addressesAnswer{Addresses: found, KeepSeconds: keepSeconds(view)})
}

func keepSeconds(view *control.View) int {
	if view == nil || view.Tree == nil || view.Tree.Fleet.KeepSeconds == 0 {
		return defaultKeepSeconds
	}
	return view.Tree.Fleet.KeepSeconds
}

// advertisedInstances lists the instances that callers may use. It leaves this
// instance out as soon as it starts to drain, before the other instances have
// learned of the drain.
func (s *Server) advertisedInstances(view *control.View, zone string) []address {
	if view == nil {
		return []address{}
	}
	sameZone, otherZones := []address{}, []address{}
	for _, i := range view.Instances {
		if i.State != membership.Live || (i.Name == s.options.Process.Name && s.draining.started()) {
			continue
		}
		a := address{Address: i.Address, AvailabilityZone: i.AvailabilityZone}
		if i.AvailabilityZone == zone {
			sameZone = append(sameZone, a)
		} else {
			otherZones = append(otherZones, a)
		}
	}
	shuffle(sameZone)
	shuffle(otherZones)
	return append(sameZone, otherZones...)
}

func shuffle(list []address) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// otherAddresses lists the other live instances, for a refusal that redirects the
// caller.
func (s *Server) otherAddresses() []address {
	var otherAddresses []address
	own := s.address.Load()
	for _, a := range s.advertisedInstances(s.options.Plane.View(), s.options.Process.AvailabilityZone) {
		if own == nil || a.Address != *own {
			otherAddresses = append(otherAddresses, a)
		}
	}
	return otherAddresses
}
