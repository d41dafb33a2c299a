// Package throttle keeps the request rates that overloaded upstreams specify,
// replicates them between the instances of a fleet, and divides each rate among
// those instances.
//
// The package is pure: its driver sends and receives the messages and consults
// it before each request.
package throttle
