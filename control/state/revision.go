package state

import "time"

// Revision describes one accepted settings tree. Number is the log index of the
// command that made it.
type Revision struct {
	Number  uint64    `json:"number"`
	Base    uint64    `json:"base"`
	OrderID string    `json:"order_id"`
	Version uint64    `json:"version,omitempty"` // that a document gave itself
	At      time.Time `json:"at"`
	Digest  string    `json:"digest"` // SHA-256 of the text, hexadecimal
}
