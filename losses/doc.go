// Package losses analyses the logs of instances for calls that were not answered in
// time, by route, cause and moment. It performs no I/O, and needs no other monitoring
// of the fleet than the logs.
package losses
