// Package loadshare lets instances exchange their calls in flight at each upstream, so that all
// of them choose upstreams by nearly the same loads.
//
// The load that an upstream reports itself is some hundred milliseconds old, and querying it
// costs a call. The instances know at once what they have sent: each reports changes, and
// periodically its full state, in datagrams that may be lost. The package does no I/O; a driver
// sends and receives the datagrams.
package loadshare
