// Package resend decides whether a call whose last send failed is sent again. It performs no
// I/O: the time, the outcome of the last send and the limits of the call are passed as arguments.
//
// A send that met an ended upstream has not run and costs one round trip. It does not count against
// the sends of the route, so that a call looks for a running upstream until little of its time is
// left; such sends have bounds of their own. The send that follows counts against the repeat budget
// only if a process answered: it had to handle a request beyond the first of its call.
package resend
