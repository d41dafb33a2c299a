package entry

// Headers and media types between callers and an instance.
const (
	headerRequestID  = "X-Request-Id"
	headerVerdict    = "X-Celeryport-Verdict"
	headerClass      = "X-Celeryport-Class"
	headerDeadlineMs = "X-Celeryport-Deadline-Ms"
	headerNoRepeat   = "X-Celeryport-No-Repeat"
	headerKey        = "Idempotency-Key"
	headerRetryAfter = "Retry-After"

	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
)

// Paths that callers, upstreams and operators use.
const (
	pathAddresses   = "/v1/addresses"
	pathCompletions = "/v1/completions"
	pathServices    = "/v1/services/"
	pathMetrics     = "/metrics"
	pathHealth      = "/healthz"
	pathReady       = "/readyz"
	pathBurn        = "/burn"
)
