// Package losses analyses the logs of instances for calls that were not answered in
// time, by route, cause and moment. It is pure and needs no other monitoring of the
// fleet.
package losses
