// Package keepalive learns for how long upstreams keep idle connections that end them sooner than they state, or state
// nothing. A call that is sent on a connection which the upstream ends at that time may have run, and some calls must
// not be sent again then. The package does no I/O.
package keepalive
