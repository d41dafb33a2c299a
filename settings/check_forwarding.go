package settings

import "strings"

// routeKind and serviceKind prefix the section names in faults of a forwarding document.
const (
	routeKind   = "route."
	serviceKind = "service."
)

// checkForwarding reports routes and services that instances can't serve.
func checkForwarding(f *Forwarding, faults *collector) {
	services := map[string]bool{}
	for i := range f.Services {
		name := f.Services[i].Name
		if name == "" {
			faults.add(serviceKind, "name", "a service has no name", "a name")
		}
		if services[name] {
			faults.add(serviceKind+name, "name", "two services have this name", "different names")
		}
		services[name] = true
	}
	locations := map[string]string{}
	for i := range f.Routes {
		checkRoute(&f.Routes[i], services, locations, faults)
	}
}

func checkRoute(r *Route, services map[string]bool, locations map[string]string, faults *collector) {
	section := routeKind + r.Name
	if r.Host == "" {
		faults.add(section, "host", "the route has no host", "a host name")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		faults.add(section, "path prefix", "value "+quote(r.PathPrefix)+" does not fit", "a path that begins and ends with a slash")
	}
	if r.Timeout <= 0 {
		faults.add(section, "timeout", "every call would end before it is sent", "a time above 0")
	}
	location := strings.ToLower(r.Host) + r.PathPrefix
	if other, taken := locations[location]; taken {
		faults.add(section, "path prefix", "route "+other+" has the same host and path prefix", "different places")
	}
	locations[location] = r.Name
	checkShares(r, services, faults)
}

func checkShares(r *Route, services map[string]bool, faults *collector) {
	section := routeKind + r.Name
	r.TotalWeight = 0
	for _, share := range r.Shares {
		if !services[share.Service] {
			faults.add(section, "service", "there is no service "+quote(share.Service), "a service of this document")
		}
		if share.Weight < 0 {
			faults.add(section, "weight", "a weight is below 0", "0 or more")
		}
		r.TotalWeight += share.Weight
	}
	if r.TotalWeight <= 0 {
		faults.add(section, "weight", "the weights add up to 0", "a sum above 0")
	}
}

// checkCallerKeys rejects a key that belongs to two organisations, since its
// calls could not be attributed to one of them.
func checkCallerKeys(organisations []Organisation, faults *collector) {
	owners := map[string]string{}
	for i := range organisations {
		o := &organisations[i]
		for _, hash := range o.KeySHA256 {
			if other, taken := owners[hash]; taken && other != o.Name {
				faults.add("organisation."+o.Name, "keys", "organisation "+other+" has the same key", "keys of its own")
			}
			owners[hash] = o.Name
		}
	}
}
