// Package transit decides which other instance handles a call for an instance that can't reach the
// upstreams itself. The package is pure: time, the list of instances and random numbers are
// arguments.
package transit
