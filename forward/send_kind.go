package forward

// sendKind is the way by which a send got its upstream.
type sendKind uint8

const (
	// firstSend: the first of a call, placed by this instance.
	firstSend sendKind = iota
	// repeatedSend: after a send that failed, or the rest of a stream that broke off.
	repeatedSend
	// grantedSend: the instance that places the long prompts of all chose the upstream.
	grantedSend
)

// kindOf returns the kind of a send after others of the same call.
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

// String returns the form of logs and metrics.
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
