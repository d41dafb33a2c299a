package answer

import "strconv"

// Call is the JSON answer of the stand-in service to a call.
type Call struct {
	Service   string `json:"service"`
	Request   string `json:"request"`
	Key       string `json:"key,omitempty"`
	Execution int    `json:"execution"` // number of executions of the key, or of the request if there is no key
	Digest    string `json:"digest"`    // digest of the body of the call, see CallDigest
}

// CallDigest returns a digest of the body of a call, by which the caller can verify
// that an answer belongs to its call.
func CallDigest(body []byte) string {
	return strconv.FormatUint(Hash(string(body)), 16)
}

// Counts are the numbers of executions on the stand-in service by Idempotency-Key and
// by request id. A count above one for a call that must not be repeated shows that
// the call was executed more than once.
type Counts struct {
	Keys     map[string]int `json:"keys"`
	Requests map[string]int `json:"requests"`
}
