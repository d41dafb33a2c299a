// Package quarantine recognises requests that crash the upstreams which run them, so
// that they can be rejected before they reach another one.
//
// The package is pure: it decides from reported evidence and a clock that is passed in.
package quarantine
