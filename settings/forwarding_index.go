package settings

import (
	"sort"
	"strings"
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
	f.setMinPauseLimits()
}

// setMinPauseLimits sets the MinPauseLimit of each engine service to the shortest
// PauseLimit of the routes to it.
func (f *Forwarding) setMinPauseLimits() {
	for i := range f.Routes {
		route := &f.Routes[i]
		for _, to := range route.Shares {
			service := f.Service(to.Service)
			if service == nil || service.Engine == nil || route.PauseLimit <= 0 {
				continue
			}
			if e := service.Engine; e.MinPauseLimit == 0 || route.PauseLimit < e.MinPauseLimit {
				e.MinPauseLimit = route.PauseLimit
			}
		}
	}
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
