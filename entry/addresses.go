package entry

import (
	"math/rand/v2"

	"github.com/valyala/fasthttp"

	"celeryport/control"
	"celeryport/membership"
)

const (
	defaultKeepSeconds = 10
	zoneParameter      = "availability_zone"
)

// addresses serves GET /v1/addresses: live instances, those of the caller's
// availability zone first, in random order within a zone so that callers spread.
func (s *Server) addresses(ctx *fasthttp.RequestCtx) {
	zone := string(ctx.QueryArgs().Peek(zoneParameter))
	if zone == "" {
		zone = s.options.Process.AvailabilityZone
	}
	view := s.options.Plane.View()
	writeJSON(ctx, addressesAnswer{Addresses: s.handedOut(view, zone), KeepSeconds: keepSeconds(view)})
}

func keepSeconds(view *control.View) int {
	if view == nil || view.Tree == nil || view.Tree.Fleet.KeepSeconds == 0 {
		return defaultKeepSeconds
	}
	return view.Tree.Fleet.KeepSeconds
}

// handedOut lists the instances that callers may use. This instance leaves
// itself out as soon as it drains, before the others have heard of it.
func (s *Server) handedOut(view *control.View, zone string) []address {
	if view == nil {
		return []address{}
	}
	near, far := []address{}, []address{}
	for _, i := range view.Instances {
		if i.State != membership.Live || (i.Name == s.options.Process.Name && s.draining.started()) {
			continue
		}
		a := address{Address: i.Address, AvailabilityZone: i.AvailabilityZone}
		if i.AvailabilityZone == zone {
			near = append(near, a)
		} else {
			far = append(far, a)
		}
	}
	shuffle(near)
	shuffle(far)
	return append(near, far...)
}

func shuffle(list []address) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// others lists the other live instances, for a refusal that sends callers on.
func (s *Server) others() []address {
	var others []address
	own := s.address.Load()
	for _, a := range s.handedOut(s.options.Plane.View(), s.options.Process.AvailabilityZone) {
		if own == nil || a.Address != *own {
			others = append(others, a)
		}
	}
	return others
}
