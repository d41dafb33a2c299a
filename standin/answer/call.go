package answer

import "strconv"

// Call is the JSON answer of the stand-in service to one call.
type Call struct {
	Service   string `json:"service"`
	Request   string `json:"request"`
	Key       string `json:"key,omitempty"`
	Execution int    `json:"execution"` // of this key, or of this request without a key
	Digest    string `json:"digest"`    // of the body of the call, see CallDigest
}

// CallDigest names the body of a call, so that its caller can tell the answer
// from one to another call.
func CallDigest(body []byte) string {
	return strconv.FormatUint(Hash(string(body)), 16)
}

// Counts is what the stand-in service executed: calls by Idempotency-Key and
// by request id. More than one execution of a call that must not be repeated
// is a doubled call.
type Counts struct {
	Keys     map[string]int `json:"keys"`
	Requests map[string]int `json:"requests"`
}
