// Package callerconn holds the state of connections of callers that decides when they end: after an idle time,
// or because the instance stops.
package callerconn
