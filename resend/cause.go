package resend

// Cause is why a send failed, as far as it matters for sending the call again.
type Cause uint8

const (
	// Counted means that a running upstream may have received the call. It is the zero value: a
	// send of unknown outcome counts against all limits.
	Counted Cause = iota
	// HelperAtFault means that a running upstream rejected the call because another one refused
	// its part.
	HelperAtFault
	// Misdirected means that the addressed incarnation has ended and another one, which may belong
	// to another service, answered at its address.
	Misdirected
	// Ended means that nothing accepts connections at the address of the upstream.
	Ended
	// Withdrawn means that nothing was sent because the upstream had become unavailable.
	Withdrawn
	// Unreachable means that nothing was sent because a connection or a reservation failed, which
	// may take as long as its time-out.
	Unreachable
	// PathLost means that a running upstream may have received the call, and that the answer was lost
	// with the sender's network paths to all upstreams of the service.
	PathLost
	// Rejected means that a running upstream rejected a call whose answer has begun: it has run nothing, and the call
	// can't be refused any more.
	Rejected

	causes = int(Rejected) + 1
)

// charged reports whether the send that follows counts against the repeat budget: only if a
// running upstream had to handle the failed one, if only to reject it.
func (c Cause) charged() bool {
	return c == Counted || c == HelperAtFault || c == Misdirected || c == PathLost || c == Rejected
}

// Missed reports whether the send found no running upstream.
func (c Cause) Missed() bool { return c == Misdirected || c == Ended || c == Unreachable }
