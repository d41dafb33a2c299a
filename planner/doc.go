// Package planner computes how much the engines of a service could have prefilled in time if all
// calls had been known in advance. The result is an upper bound for every policy: engine time
// can be divided arbitrarily, and no other resource is limited. The package does no I/O.
package planner
