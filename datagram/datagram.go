// Package datagram authenticates the datagrams that the instances of a fleet send to
// each other. Without authentication, anyone who can reach the port could make
// upstreams look busy or influence where calls are placed.
package datagram

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"

	"github.com/cockroachdb/errors"
)

// Kind is the type of the content of a datagram.
type Kind byte

const (
	// Loads carries a loadshare.Report.
	Loads Kind = 1 + iota
	// ArbiterRequest carries an arbiter.Request.
	ArbiterRequest
	// ArbiterAnswer carries an arbiter.ArbiterAnswer.
	ArbiterAnswer
	// LoadsToRelay carries a loadshare.Report that the receiver relays to the instances of
	// its availability zone.
	LoadsToRelay
	// Rates carries a throttle.Message.
	Rates
	// RatesToRelay carries a throttle.Message that the receiver relays to the instances of
	// its availability zone.
	RatesToRelay
	// ArbiterWithdrawal carries an arbiter.Withdrawal.
	ArbiterWithdrawal
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	switch k {
	case Loads:
		return "loads"
	case ArbiterRequest:
		return "arbiter-request"
	case ArbiterAnswer:
		return "arbiter-answer"
	case LoadsToRelay:
		return "loads-to-relay"
	case Rates:
		return "rates"
	case RatesToRelay:
		return "rates-to-relay"
	case ArbiterWithdrawal:
		return "arbiter-withdrawal"
	default:
		return "other"
	}
}

// macBytes is the size of the truncated HMAC; guessing one takes about 10^19 datagrams.
const macBytes = 8

// ErrUnauthenticated reports a datagram that is too short or not authenticated with
// the key of this fleet.
var ErrUnauthenticated = errors.New("datagram does not come from an instance of this fleet")

// Seal returns a datagram with the kind and the content, authenticated with the secret
// that all instances of the fleet share. The content is not encrypted.
func Seal(secret string, kind Kind, content []byte) []byte {
	data := make([]byte, 0, 1+len(content)+macBytes)
	data = append(data, byte(kind))
	data = append(data, content...)
	return append(data, mac(secret, data)...)
}

// Open verifies a datagram and returns its kind and content.
func Open(secret string, data []byte) (Kind, []byte, error) {
	if len(data) < 1+macBytes {
		return 0, nil, ErrUnauthenticated
	}
	body, code := data[:len(data)-macBytes], data[len(data)-macBytes:]
	if subtle.ConstantTimeCompare(code, mac(secret, body)) != 1 {
		return 0, nil, ErrUnauthenticated
	}
	return Kind(body[0]), body[1:], nil
}

func mac(secret string, data []byte) []byte {
	hasher := hmac.New(sha256.New, []byte(secret))
	hasher.Write(data)
	return hasher.Sum(nil)[:macBytes]
}
