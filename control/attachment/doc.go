// Package attachment tracks the instances that sync with a voter instead of with the leader,
// and what the leader knows of them. It does no I/O and reads no clock: callers pass in the
// time and exchange the messages.
//
// The leader cannot answer the syncs of hundreds of instances and lead the control group at
// the same time on a small share of a processor. Each voter therefore answers a part of the
// instances and forwards their reports to the leader in its own syncs.
package attachment
