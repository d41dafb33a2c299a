// Package rpc is the protocol between the instances, and between operators and
// instances: generated code, the clients that never repeat a call, the keys, and
// the way of a verdict through an error.
package rpc
