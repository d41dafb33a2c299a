// Package quarantine identifies requests, and parts of prompts that requests
// share, that crash the upstreams which run them, so that such requests can be
// rejected before they are sent to another one.
//
// The package is pure: its decisions depend only on reported evidence and on
// the time passed in.
package quarantine
