// Package outlier finds upstreams that fail more of the calls they accept than the others of their
// service do, although they can be reached and their health checks pass.
//
// It compares outcomes: what fails everywhere, like a request or a class of requests that no
// upstream can answer, is evidence against none. The package does no I/O; a driver records the
// outcomes of sends and exchanges doubts with other instances.
package outlier
