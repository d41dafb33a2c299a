// Package departure holds the upstreams that have left the service for good, so that neither a restart of all
// instances nor a delayed announcement brings them back. It is pure.
package departure
