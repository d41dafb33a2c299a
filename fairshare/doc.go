// Package fairshare divides the engine time of a fleet between organisations while it is short. It
// estimates what a call costs, keeps the demand and the served engine time of the organisations seen
// by one instance, computes weighted max-min shares of the fleet's totals, and decides by them which
// long prompts go first and which short prompts are refused. It does no I/O; the time and all state
// are arguments.
package fairshare
