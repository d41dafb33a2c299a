// Package reach decides whether an instance has lost its own network paths to the upstreams of a
// service. A refused or timed-out connection shows only that either the upstream or the path to it
// failed; which of the two follows from the connections to the other upstreams. Something between may
// accept connections and pass no data: while answers fail to come, only answers speak for the paths. The
// package is pure: time and the outcomes of connections are arguments.
package reach
