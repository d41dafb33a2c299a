// Package arbiter places the long prompts of a whole fleet on one instance. Long prompts are
// few, and each occupies many engines for a second or more. Instances that place them
// independently learn of each other's placements with a delay: waiting prompts see the same
// engines become free and occupy them at the same moment, and on an engine that gets two parts
// the first one is delayed. A central arbiter knows its own placements at once and can order the
// waiting prompts by value.
//
// The package does no I/O: the caller passes in requests and the state of the engines and gets
// the answers. No state outlives the instance: a requester repeats its request until it gets an
// answer, and turns to another instance if none comes.
package arbiter
