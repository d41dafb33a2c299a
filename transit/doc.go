// Package transit lets other instances handle the calls of an instance that can't reach the upstreams
// itself: which instance is asked (Peers, which is pure), what is stated about a call and its answer,
// and the connections between the instances.
package transit
