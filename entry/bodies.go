package entry

// completionBody is the JSON body of POST /v1/completions. Unknown fields are
// ignored, because client libraries send many others.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// serviceBody is a call to a plain service.
type serviceBody struct {
	method      string
	path        string // with the query, as sent to the service
	contentType string
	body        []byte
}

// completionAnswer is the JSON answer to a completion that is not streamed, and the
// data of one event of a streamed completion.
type completionAnswer struct {
	ID         string             `json:"id"`
	Object     string             `json:"object"`
	Model      string             `json:"model"`
	Choices    []completionChoice `json:"choices"`
	Usage      *usage             `json:"usage,omitempty"`
	Celeryport *requestSummary    `json:"celeryport,omitempty"`
}

type completionChoice struct {
	Text         string  `json:"text"`
	Index        int     `json:"index"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// requestSummary is sent in the last event of a stream.
type requestSummary struct {
	RequestID string `json:"request_id"`
	Verdict   string `json:"verdict"`
}

// errorAnswer is the JSON body of every refusal and failure.
type errorAnswer struct {
	Error     errorBody `json:"error"`
	Addresses []address `json:"addresses,omitempty"` // other instances to which the caller can send the request
}

type errorBody struct {
	Type         string `json:"type"`
	Message      string `json:"message"`
	Verdict      string `json:"verdict"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// addressesAnswer is the JSON body of GET /v1/addresses.
type addressesAnswer struct {
	Addresses   []address `json:"addresses"`
	KeepSeconds int       `json:"keep_seconds"`
}

type address struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
}

const objectCompletion = "text_completion"
