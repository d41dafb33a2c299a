package failover

// Sign is what an engine shows that was asked for its state.
type Sign uint8

const (
	// SignAwaited means that it has not answered yet.
	SignAwaited Sign = iota
	// SignAnswered means that it has answered.
	SignAnswered
	// SignNone means that it has not answered in time.
	SignNone
)

// Returns reports which of the engines that a call has left it returns to, -1 if none, and whether that is known yet.
// The engines may all be busy rather than silent, in which case the call would only lose its place at the present one:
// it returns if a former engine answers and the present one does not.
func Returns(present Sign, former []Sign) (at int, known bool) {
	if present == SignAnswered {
		return -1, true
	}
	awaited := present == SignAwaited
	for i, sign := range former {
		switch {
		case sign == SignAnswered && present == SignNone:
			return i, true
		case sign == SignAwaited:
			awaited = true
		}
	}
	return -1, !awaited
}
