// Package throttle keeps the request rates that upstreams in need name, spreads them among
// the instances of a fleet, and divides each rate among them.
//
// The package is pure; a driver sends and receives, and asks before it sends a request.
package throttle
