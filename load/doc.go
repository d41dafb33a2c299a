// Package load sends the requests of a deployment's callers to the entry
// instances as those callers would: in an open loop, with real prompt sizes,
// following the addresses that the instances hand out. It checks every answer
// and tells what was served, refused, failed, lost, doubled or crossed.
package load
