// Package wire defines the protocol between instances and upstreams: the paths,
// headers, messages and frames of the HTTP interface of model engines, plain
// services and the project's stand-ins for them. It is documented in
// docs/UPSTREAM-PROTOCOL.md.
package wire

// Paths served by engines. Engines that check keys require the header
// "Authorization: Bearer KEY" with the engine key on all paths except PathHealth.
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

// PathAnnounce is served by instances: POST upstream.Announcement ->
// AnnounceResponse, authenticated with an upstream key.
const PathAnnounce = "/v1/announce"

// Headers of the requests and answers between instances and upstreams.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderAttempt     = "X-Celeryport-Attempt"
	HeaderOwner       = "X-Celeryport-Owner"        // instance/incarnation
	HeaderRemainingMs = "X-Celeryport-Remaining-Ms" // milliseconds until the deadline
	HeaderPriority    = "X-Celeryport-Priority"
	HeaderOffset      = "X-Celeryport-Offset" // number of answer tokens already received
	HeaderKey         = "Idempotency-Key"
	HeaderIncarnation = "X-Celeryport-Incarnation" // expected incarnation of the upstream; a different one answers with status 409
	HeaderRefused     = "X-Celeryport-Refused"     // set on an answer if the upstream did not run the request
)

// RefusedIncarnation is the value of HeaderRefused if the call is meant for another incarnation.
const RefusedIncarnation = "incarnation"

// GenerateRequest starts the answer to a prompt or resumes its stream.
type GenerateRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Span      []Span `json:"span,omitempty"` // reserved parts if the prompt is spread over several engines
}

// Span identifies the reserved part of a spread prompt on one engine.
type Span struct {
	Address string `json:"address"`
	Tokens  int    `json:"tokens"`
}

// Frame is one line of the JSON stream that answers a GenerateRequest. Request and
// Attempt identify the answer, and Offset the position of the text in it. A
// receiver closes the connection on any unexpected frame.
type Frame struct {
	Request   string `json:"request"`
	Attempt   uint32 `json:"attempt"`
	Offset    int    `json:"offset"`              // number of answer tokens before Text
	Text      string `json:"text,omitempty"`      // one or more answer tokens
	Tokens    int    `json:"tokens,omitempty"`    // number of answer tokens in Text
	Heartbeat bool   `json:"heartbeat,omitempty"` // no text; the engine is still working on the answer
	Cached    int    `json:"cached,omitempty"`    // prompt tokens taken from the prefix cache, on the first frame with text
	Final     bool   `json:"final,omitempty"`     // the answer is complete
	Length    int    `json:"length,omitempty"`    // with Final: bytes of the whole answer from offset 0
	Checksum  uint64 `json:"checksum,omitempty"`  // with Final, and optionally with Text (0: none): xxhash of the answer from offset 0 to the end of this frame
	Error     string `json:"error,omitempty"`     // the engine aborted the answer for this reason
	Refused   bool   `json:"refused,omitempty"`   // with Error: the engine did not run the request
}

// CancelRequest aborts a request of an owner on an engine and frees its memory. An
// empty Request aborts all requests of the owner.
type CancelRequest struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	Owner   string `json:"owner"`
}

// CancelResponse confirms that the engine no longer holds anything for the request.
type CancelResponse struct {
	Cancelled int `json:"cancelled"` // number of cancelled requests; 0 if there was none
}

// ReserveRequest creates, renews or releases the memory reservation of one part of
// a span. A reservation that is not renewed expires with its lease.
type ReserveRequest struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	Owner   string `json:"owner"`
	Tokens  int    `json:"tokens"` // 0 releases the reservation
	LeaseMs int64  `json:"lease_ms"`
}

// ReserveResponse is the answer to a ReserveRequest.
type ReserveResponse struct {
	Granted bool `json:"granted"`
	Free    int  `json:"free"` // free memory in tokens after the request
}

// Holdings lists the requests, reservations and exports that hold memory on an engine.
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

// OrderKind is the kind of an order to an engine.
type OrderKind string

// The kinds of orders that engines execute.
const (
	OrderLoadModel     OrderKind = "load-model"
	OrderUnloadModel   OrderKind = "unload-model"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderVersion       OrderKind = "version"
	OrderRole          OrderKind = "role"
)

// Order changes the configuration of an engine: its models, adapters, version or
// role. Engines that check fencing numbers reject an order whose (Term, Index) is
// lower than the highest they have seen.
type Order struct {
	ID    string    `json:"id"`
	Term  uint64    `json:"term"`
	Index uint64    `json:"index"`
	Kind  OrderKind `json:"kind"`
	Value string    `json:"value"` // model, adapter, version or role
}

// OrderResponse is the answer to an Order.
type OrderResponse struct {
	Accepted bool        `json:"accepted"`
	Reason   string      `json:"reason,omitempty"`
	State    EngineState `json:"state"`
}

// EngineState is the current configuration of an engine, which is read back before an order is sent.
type EngineState struct {
	Incarnation uint64   `json:"incarnation"`
	Models      []string `json:"models"`
	Adapters    []string `json:"adapters"`
	Version     string   `json:"version"`
	Role        string   `json:"role"`
	FenceTerm   uint64   `json:"fence_term"` // highest fencing number seen; 0 if the engine ignores fencing
	FenceIndex  uint64   `json:"fence_index"`
	Orders      []string `json:"orders"` // IDs of the most recently executed orders, oldest first
}

// AnnounceResponse is the answer to an announcement. Addresses are those of
// further instances to which the upstream can send its announcements.
type AnnounceResponse struct {
	Addresses []string `json:"addresses"`
}
