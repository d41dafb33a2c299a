// Package failover decides when a call whose stream is silent moves to another engine, so that
// its next event arrives before the caller disconnects. The package is pure: time and state are
// arguments; a driver watches the connection, chooses the other engine and sends the call.
package failover
