// Package supervise runs the components of an instance and stops them in order. A component that
// ends without a request is logged, and either its I/O is opened again or the instance is stopped.
// Panics are not caught: the runtime prints them and ends the process.
package supervise
