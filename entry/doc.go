// Package entry is the caller side of an instance: it hands out addresses,
// authenticates and admits requests, sends them to upstreams as the dispatcher
// decides, and gives every request exactly one final answer by its deadline.
package entry
