// Package datagram seals the datagrams that the instances of a fleet send each
// other: whoever can send to a port could otherwise make upstreams look busy or
// place calls.
package datagram

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"

	"github.com/cockroachdb/errors"
)

// Kind says what a datagram holds.
type Kind byte

const (
	// Loads is a loadshare.Report.
	Loads Kind = 1 + iota
	// Ask is an arbiter.Request.
	Ask
	// Answer is an arbiter.Answer.
	Answer
	// LoadsToRelay is a loadshare.Report that the one who gets it sends on within its
	// availability zone.
	LoadsToRelay
	// Rates is a throttle.Message.
	Rates
	// RatesToRelay is a throttle.Message that the one who gets it sends on within its
	// availability zone.
	RatesToRelay
)

// sumBytes is the size of the authentication code; guessing one takes 10^19
// datagrams.
const sumBytes = 8

// ErrForeign says that a datagram is not one of an instance of this fleet.
var ErrForeign = errors.New("not a datagram of an instance of this fleet")

// Seal returns a datagram with a content, authenticated by a key that all
// instances share.
func Seal(secret string, kind Kind, content []byte) []byte {
	data := make([]byte, 0, 1+len(content)+sumBytes)
	data = append(data, byte(kind))
	data = append(data, content...)
	return append(data, sum(secret, data)...)
}

// Open returns the content of a datagram.
func Open(secret string, data []byte) (Kind, []byte, error) {
	if len(data) < 1+sumBytes {
		return 0, nil, ErrForeign
	}
	body, code := data[:len(data)-sumBytes], data[len(data)-sumBytes:]
	if subtle.ConstantTimeCompare(code, sum(secret, body)) != 1 {
		return 0, nil, ErrForeign
	}
	return Kind(body[0]), body[1:], nil
}

func sum(secret string, data []byte) []byte {
	code := hmac.New(sha256.New, []byte(secret))
	code.Write(data)
	return code.Sum(nil)[:sumBytes]
}
