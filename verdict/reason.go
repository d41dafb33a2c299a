package verdict

import "net/http"

// Reason is the machine-readable cause of a refusal or failure. It is the
// "type" field of the JSON error and a bounded metric label.
type Reason string

// Reasons for refusals and failures.
const (
	ReasonBadRequest    Reason = "bad-request"    // malformed body or header
	ReasonUnauthorized  Reason = "unauthorised"   // unknown or missing key
	ReasonNotFound      Reason = "not-found"      // unknown path, model or service
	ReasonBodyTooLarge  Reason = "body-too-large" // exceeds the configured limit
	ReasonTooLong       Reason = "too-long"       // no engine and no span of engines can hold the prompt
	ReasonDeadline      Reason = "deadline"       // cannot be answered in time
	ReasonShare         Reason = "share"          // exceeds its organisation's share while the fleet is full
	ReasonLimit         Reason = "limit"          // exceeds a limit of its organisation or class
	ReasonQueueFull     Reason = "queue-full"     // the queue of its class is full
	ReasonConnections   Reason = "connections"    // this instance has as many connections as it may have
	ReasonNoUpstream    Reason = "no-upstream"    // no fresh upstream serves the model or service
	ReasonDraining      Reason = "draining"       // this instance is shutting down
	ReasonNoLease       Reason = "no-lease"       // this instance has no valid lease on its settings
	ReasonNoQuorum      Reason = "no-quorum"      // no majority of voters could be reached
	ReasonDuplicate     Reason = "duplicate"      // same idempotency key as an earlier request
	ReasonKeyExpired    Reason = "key-expired"    // idempotency key older than its lifetime
	ReasonUpstream      Reason = "upstream"       // upstream failed or violated its protocol
	ReasonTimeout       Reason = "timeout"        // the deadline passed while the request ran
	ReasonCallerLeft    Reason = "caller-left"    // the caller closed its connection
	ReasonRetryBudget   Reason = "retry-budget"   // the organisation's retry budget is exhausted
	ReasonInternal      Reason = "internal"       // internal error
	ReasonConflict      Reason = "conflict"       // an operator's order conflicts with another one
	ReasonNotLeader     Reason = "not-leader"     // sent to an instance that does not lead the control group
	ReasonQuarantined   Reason = "quarantined"    // the request crashed the upstreams that ran it
	ReasonStorageFailed Reason = "storage-failed" // a write or sync in the data folder failed
)

// Status returns the HTTP status code for the reason.
func (r Reason) Status() int {
	switch r {
	case ReasonBadRequest:
		return http.StatusBadRequest
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case ReasonNotFound:
		return http.StatusNotFound
	case ReasonBodyTooLarge, ReasonTooLong:
		return http.StatusRequestEntityTooLarge
	case ReasonShare, ReasonLimit, ReasonQueueFull, ReasonRetryBudget:
		return http.StatusTooManyRequests
	case ReasonDuplicate, ReasonKeyExpired, ReasonConflict:
		return http.StatusConflict
	case ReasonUpstream:
		return http.StatusBadGateway
	case ReasonTimeout:
		return http.StatusGatewayTimeout
	case ReasonInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
