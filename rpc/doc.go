// Package rpc implements the control protocol between instances, and between
// operators and instances. It contains the generated code, clients that never retry
// a call, the authentication by keys, and the encoding of verdicts in errors.
package rpc
