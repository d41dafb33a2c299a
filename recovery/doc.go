// Package recovery decides how an instance behaves while it does not know the loads of the other
// instances: after its own start, and after a loss of all processes.
//
// An instance that has just started sees no loads. If it took that for an idle fleet, it would
// pack its calls onto the first engines of the common order, as would every other instance that
// started at the same moment. The package does no I/O and takes the time as an argument; package
// forward drives it.
package recovery
