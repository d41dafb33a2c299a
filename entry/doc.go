// Package entry implements the caller-facing side of an instance: it lists the
// addresses of instances, authenticates and admits requests, sends them to upstreams
// as the dispatcher decides, and gives every request exactly one final answer by its
// deadline.
package entry
