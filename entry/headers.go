package entry

// Headers and media types of the HTTP interface to callers.
const (
	headerRequestID  = "X-Request-Id"
	headerVerdict    = "X-Celeryport-Verdict"
	headerClass      = "X-Celeryport-Class"
	headerDeadlineMs = "X-Celeryport-Deadline-Ms"
	headerNoRepeat   = "X-Celeryport-No-Repeat"
	headerKey        = "Idempotency-Key"
	headerRetryAfter = "Retry-After"
	headerKeepAlive  = "Keep-Alive"

	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
)

// Paths of the HTTP interface to callers, upstreams and operators.
const (
	pathAddresses   = "/v1/addresses"
	pathCompletions = "/v1/completions"
	pathServices    = "/v1/services/"
	pathMetrics     = "/metrics"
	pathHealth      = "/healthz"
	pathReady       = "/readyz"
	pathBurn        = "/burn"
)
