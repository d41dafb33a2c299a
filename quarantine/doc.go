// Package quarantine identifies requests that crash the upstreams that run
// them, so that they can be rejected before they are sent to another one.
//
// The package is pure: its decisions depend only on reported evidence and on
// the time passed in.
package quarantine
