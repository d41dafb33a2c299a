// Package wire is the protocol between entry instances and upstreams: paths,
// headers and frames of the HTTP interface that model engines, plain services
// and the project's stand-ins speak. docs/UPSTREAM-PROTOCOL.md describes it.
package wire

// Paths that an engine serves. All but health need "Authorization: Bearer KEY"
// with the engine key, where the engine checks keys.
const (
	PathGenerate = "/v1/generate" // POST GenerateRequest, answers a stream of frames
	PathCancel   = "/v1/cancel"   // POST CancelRequest -> CancelResponse
	PathReserve  = "/v1/reserve"  // POST ReserveRequest -> ReserveResponse
	PathHoldings = "/v1/holdings" // GET -> Holdings
	PathOrder    = "/v1/order"    // POST Order -> OrderResponse
	PathState    = "/v1/state"    // GET -> EngineState
	PathKVExport = "/v1/kv/export"
	PathKVImport = "/v1/kv/import"
	PathHealth   = "/healthz"
)

// PathAnnounce is served by entry instances: POST upstream.Announcement ->
// AnnounceResponse, with an upstream key.
const PathAnnounce = "/v1/announce"

// Headers between entry instances and upstreams.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderAttempt     = "X-Celeryport-Attempt"
	HeaderOwner       = "X-Celeryport-Owner"        // instance/incarnation
	HeaderRemainingMs = "X-Celeryport-Remaining-Ms" // time left until the deadline
	HeaderPriority    = "X-Celeryport-Priority"
	HeaderOffset      = "X-Celeryport-Offset" // answer tokens already received
	HeaderKey         = "Idempotency-Key"
	HeaderIncarnation = "X-Celeryport-Incarnation" // the upstream incarnation that is meant; another one refuses with 409
	HeaderRefused     = "X-Celeryport-Refused"     // on an upstream's answer: it did not run the request
)

// GenerateRequest starts or resumes one prompt.
type GenerateRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Span      []Span `json:"span,omitempty"` // the reserved parts, when the prompt is spread
}

// Span names one reserved part of a spread prompt.
type Span struct {
	Address string `json:"address"`
	Tokens  int    `json:"tokens"`
}

// Frame is one line of the JSON stream that answers a GenerateRequest. Request,
// Attempt and Offset say whose answer it is and where the text belongs; a
// receiver closes the connection on any frame that is not the expected one.
type Frame struct {
	Request   string `json:"request"`
	Attempt   uint32 `json:"attempt"`
	Offset    int    `json:"offset"`              // answer tokens before Text
	Text      string `json:"text,omitempty"`      // one or more answer tokens
	Tokens    int    `json:"tokens,omitempty"`    // answer tokens in Text
	Heartbeat bool   `json:"heartbeat,omitempty"` // no text, the engine is alive and works on it
	Cached    int    `json:"cached,omitempty"`    // prompt tokens from the prefix cache, on the first frame with text
	Final     bool   `json:"final,omitempty"`     // the answer is complete
	Length    int    `json:"length,omitempty"`    // on Final: bytes of the whole answer, from offset 0
	Checksum  uint64 `json:"checksum,omitempty"`  // on Final and, if not 0, with Text: xxhash of the answer from offset 0 up to its end here
	Error     string `json:"error,omitempty"`     // the engine gave up
	Refused   bool   `json:"refused,omitempty"`   // with Error: nothing was run
}

// CancelRequest ends a request of an owner on an engine and frees its memory.
// An empty Request ends everything of the owner.
type CancelRequest struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	Owner   string `json:"owner"`
}

// CancelResponse confirms that nothing of the request is held any more.
type CancelResponse struct {
	Cancelled int `json:"cancelled"` // 0: it was not there
}

// ReserveRequest reserves, renews or frees memory for one part of a span. A
// reservation lapses by itself when it is not renewed.
type ReserveRequest struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	Owner   string `json:"owner"`
	Tokens  int    `json:"tokens"` // 0 frees it
	LeaseMs int64  `json:"lease_ms"`
}

// ReserveResponse answers a ReserveRequest.
type ReserveResponse struct {
	Granted bool `json:"granted"`
	Free    int  `json:"free"` // tokens free after it
}

// Holdings lists what holds memory on an engine.
type Holdings struct {
	Incarnation uint64    `json:"incarnation"`
	Held        []Holding `json:"held"`
}

// Holding is one running request, stream, reservation or KV export.
type Holding struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	Owner   string `json:"owner"`
	Tokens  int    `json:"tokens"`
	Kind    string `json:"kind"` // request, reservation, export
	AgeMs   int64  `json:"age_ms"`
}

// OrderKind is the kind of an engine order.
type OrderKind string

// The orders that engines take.
const (
	OrderLoadModel     OrderKind = "load-model"
	OrderUnloadModel   OrderKind = "unload-model"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderVersion       OrderKind = "version"
	OrderRole          OrderKind = "role"
)

// Order changes what an engine serves. Engines that check fencing numbers refuse
// an order whose (Term, Index) is below the highest they have seen.
type Order struct {
	ID    string    `json:"id"`
	Term  uint64    `json:"term"`
	Index uint64    `json:"index"`
	Kind  OrderKind `json:"kind"`
	Value string    `json:"value"` // model, adapter, version or role
}

// OrderResponse answers an Order.
type OrderResponse struct {
	Accepted bool        `json:"accepted"`
	Reason   string      `json:"reason,omitempty"`
	State    EngineState `json:"state"`
}

// EngineState is what an engine serves now, to be read back before ordering.
type EngineState struct {
	Incarnation uint64   `json:"incarnation"`
	Models      []string `json:"models"`
	Adapters    []string `json:"adapters"`
	Version     string   `json:"version"`
	Role        string   `json:"role"`
	FenceTerm   uint64   `json:"fence_term"` // highest number seen, 0 if fencing is ignored
	FenceIndex  uint64   `json:"fence_index"`
	Orders      []string `json:"orders"` // ids of the last orders executed, oldest first
}

// AnnounceResponse answers an announcement. Addresses are further instances to
// announce to.
type AnnounceResponse struct {
	Addresses []string `json:"addresses"`
}
