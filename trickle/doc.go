// Package trickle decides whether a peer that sends bytes still makes progress with its answer. Bytes are no sign
// of that, only the parts of an answer are: a head, an event, an amount of a body. The package is pure.
package trickle
