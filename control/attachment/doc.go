// Package attachment is a voter's account of the instances that sync with it
// instead of with the leader, and of what the leader has heard of them. It is
// pure: the caller hands in the time, and all messages travel elsewhere.
//
// One leader can't answer the syncs of hundreds of instances and lead the control
// group beside them on a small share of a processor. So each voter answers a part
// of the instances, and passes what they state on to the leader in its own syncs.
package attachment
