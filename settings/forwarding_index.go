package settings

import (
	"sort"
	"strings"
)

// routeIndex finds a route by host and path: of each host the routes with the
// longest prefix first.
type routeIndex map[string][]int

// NewForwardingTree checks the routes and services of a document, and returns
// the tree that instances decide by. The error is Faults with everything that is
// wrong; file only names the document in them.
func NewForwardingTree(file string, organisations []Organisation, f *Forwarding) (*Tree, error) {
	faults := &collector{file: file}
	checkForwarding(f, faults)
	checkCallerKeys(organisations, faults)
	if err := faults.err(); err != nil {
		return nil, err
	}
	f.index()
	return &Tree{Organisations: organisations, Forwarding: f, callers: newCallers(organisations)}, nil
}

func (f *Forwarding) index() {
	f.routes = routeIndex{}
	for i := range f.Routes {
		host := strings.ToLower(f.Routes[i].Host)
		f.routes[host] = append(f.routes[host], i)
	}
	for _, ofHost := range f.routes {
		sort.SliceStable(ofHost, func(a, b int) bool {
			return len(f.Routes[ofHost[a]].PathPrefix) > len(f.Routes[ofHost[b]].PathPrefix)
		})
	}
	f.services = make(map[string]int, len(f.Services))
	for i := range f.Services {
		f.services[f.Services[i].Name] = i
	}
	f.notePauses()
}

// notePauses gives the engines of each service the shortest pause of its routes.
func (f *Forwarding) notePauses() {
	for i := range f.Routes {
		route := &f.Routes[i]
		for _, to := range route.Shares {
			service := f.Service(to.Service)
			if service == nil || service.Engine == nil || route.LongPause <= 0 {
				continue
			}
			if e := service.Engine; e.LeastPause == 0 || route.LongPause < e.LeastPause {
				e.LeastPause = route.LongPause
			}
		}
	}
}

// Match returns the route of a host with the longest prefix that begins the
// path, nil if there is none.
func (f *Forwarding) Match(host, path string) *Route {
	for _, i := range f.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, f.Routes[i].PathPrefix) {
			return &f.Routes[i]
		}
	}
	return nil
}

// Choose returns the service that a draw between 0 and 1 falls on.
func (r *Route) Choose(draw float64) string {
	at := draw * float64(r.TotalWeight)
	for i := range r.Shares {
		at -= float64(r.Shares[i].Weight)
		if at < 0 {
			return r.Shares[i].Service
		}
	}
	return r.lastWeighted()
}

// lastWeighted covers a draw that rounding put past the last share.
func (r *Route) lastWeighted() string {
	for i := len(r.Shares) - 1; i >= 0; i-- {
		if r.Shares[i].Weight > 0 {
			return r.Shares[i].Service
		}
	}
	return ""
}
