package settings

import (
	"sort"
	"strings"
	"time"
)

// routeIndex maps each host to the indices of its routes, ordered by descending
// length of the path prefix.
type routeIndex map[string][]int

// NewForwardingTree validates the routes and services of a forwarding document
// and returns a tree with them. The error is a Faults that lists every problem;
// file is the document's name in the faults.
func NewForwardingTree(file string, organisations []Organisation, f *Forwarding) (*Tree, error) {
	faults := &collector{file: file}
	checkForwarding(f, faults)
	checkCallerKeys(organisations, faults)
	if err := faults.err(); err != nil {
		return nil, err
	}
	f.index()
	return &Tree{Organisations: organisations, Forwarding: f, callerKeys: newCallerKeys(organisations)}, nil
}

func (f *Forwarding) index() {
	f.routes = routeIndex{}
	for i := range f.Routes {
		host := strings.ToLower(f.Routes[i].Host)
		f.routes[host] = append(f.routes[host], i)
	}
	for _, indices := range f.routes {
		sort.SliceStable(indices, func(a, b int) bool {
			return len(f.Routes[indices[a]].PathPrefix) > len(f.Routes[indices[b]].PathPrefix)
		})
	}
	f.services = make(map[string]int, len(f.Services))
	for i := range f.Services {
		f.services[f.Services[i].Name] = i
	}
	f.setRouteMinimums()
}

// setRouteMinimums sets the MinPauseLimit and the MinPatience of each engine service to the
// shortest of the routes to it.
func (f *Forwarding) setRouteMinimums() {
	for i := range f.Routes {
		route := &f.Routes[i]
		for _, to := range route.Shares {
			if service := f.Service(to.Service); service != nil && service.Engine != nil {
				service.Engine.MinPauseLimit = minPositive(service.Engine.MinPauseLimit, route.PauseLimit)
				service.Engine.MinPatience = minPositive(service.Engine.MinPatience, route.Patience)
			}
		}
	}
}

// minPositive returns the shorter of two durations; one that is not positive counts as unknown.
func minPositive(a, b time.Duration) time.Duration {
	if a <= 0 || b > 0 && b < a {
		return max(0, b)
	}
	return a
}

// Match returns the route of host with the longest prefix of path, nil if no
// route matches.
func (f *Forwarding) Match(host, path string) *Route {
	for _, i := range f.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, f.Routes[i].PathPrefix) {
			return &f.Routes[i]
		}
	}
	return nil
}

// Choose returns a service by weight. draw is a random number in [0, 1).
func (r *Route) Choose(draw float64) string {
	remaining := draw * float64(r.TotalWeight)
	for i := range r.Shares {
		remaining -= float64(r.Shares[i].Weight)
		if remaining < 0 {
			return r.Shares[i].Service
		}
	}
	return r.lastWeighted()
}

// lastWeighted is the fallback if rounding puts a draw past the last share.
func (r *Route) lastWeighted() string {
	for i := len(r.Shares) - 1; i >= 0; i-- {
		if r.Shares[i].Weight > 0 {
			return r.Shares[i].Service
		}
	}
	return ""
}
