package forward

// sendKind is the way in which the upstream of a send was chosen.
type sendKind uint8

const (
	// firstSend is the first send of a call, placed by this instance.
	firstSend sendKind = iota
	// repeatedSend follows a failed send, or fetches the rest of an interrupted stream.
	repeatedSend
	// grantedSend goes to an upstream chosen by the arbiter of the service.
	grantedSend
)

// kindOf returns the kind of a send that follows the given number of sends of the same call.
func kindOf(w *work, before int) sendKind {
	switch {
	case w.granted:
		return grantedSend
	case before > 0:
		return repeatedSend
	default:
		return firstSend
	}
}

// String returns the name used in logs and metrics.
func (k sendKind) String() string {
	switch k {
	case grantedSend:
		return "granted"
	case repeatedSend:
		return "repeated"
	default:
		return "first"
	}
}
