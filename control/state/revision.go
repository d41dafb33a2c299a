package state

import "time"

// Revision describes an accepted settings tree. Number is the log index of the command that
// created it.
type Revision struct {
	Number  uint64    `json:"number"`
	Base    uint64    `json:"base"`
	OrderID string    `json:"order_id"`
	Version uint64    `json:"version,omitempty"` // version that the document carries, if any
	At      time.Time `json:"at"`
	Digest  string    `json:"digest"` // hexadecimal SHA-256 of the text
}
