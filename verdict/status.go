package verdict

import "net/http"

// PromisesNotRun reports whether callers take a status as a guarantee that the request has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// Status returns the HTTP status code for the error: that of its reason, unless the code promises that the request has
// not run and the verdict doesn't.
func (e *Error) Status() int {
	status := e.Reason.Status()
	if e.Verdict != NotRun && PromisesNotRun(status) {
		return http.StatusBadGateway
	}
	return status
}
