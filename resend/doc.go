// Package resend decides whether a call whose last send failed is sent again. It performs no
// I/O: the time, the outcome of the last send and the limits of the call are passed as arguments.
//
// A send that has not run and that no running upstream has seen costs one round trip. It counts
// neither against the sends of the route nor against the repeat budget, so that a call looks for a
// running upstream until little of its time is left. Such sends have bounds of their own.
package resend
