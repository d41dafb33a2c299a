package loadshare

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Key names an upstream in a report.
type Key uint64

// KeyOf returns the key of an upstream's name. Two names share one by chance
// about once in 10^13 pairs, and would then only look loaded together.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Report is one datagram.
type Report struct {
	Sender   Key    // name and incarnation of the instance
	Sequence uint32 // grows with each report of the sender
	Full     bool   // upstreams that it leaves out have no load from the sender
	Loads    map[Key]Load
}

const (
	headBytes = 8 + 4 + 1
	loadBytes = 8 + 1 + 1 + 2 + 2
	sumBytes  = 8 // of the authentication code; guessing one takes 10^19 datagrams
	// heldUnit is the step in which held tokens are told.
	heldUnit = 1024
)

var errMalformed = errors.New("not a report of an instance of this fleet")

// Encode returns the datagram, authenticated by a key that all instances share:
// whoever can send to the port could otherwise make upstreams look busy.
func (r *Report) Encode(secret string) []byte {
	data := make([]byte, headBytes, headBytes+loadBytes*len(r.Loads)+sumBytes)
	binary.LittleEndian.PutUint64(data, uint64(r.Sender))
	binary.LittleEndian.PutUint32(data[8:], r.Sequence)
	if r.Full {
		data[12] = 1
	}
	for key, load := range r.Loads {
		data = binary.LittleEndian.AppendUint64(data, uint64(key))
		data = append(data, clamp8(load.Streams), clamp8(load.Tight))
		data = binary.LittleEndian.AppendUint16(data, clamp16(load.Reading.Milliseconds()))
		data = binary.LittleEndian.AppendUint16(data, clamp16(int64((load.Held+heldUnit-1)/heldUnit)))
	}
	return append(data, sum(secret, data)...)
}

// Decode reads a datagram.
func Decode(secret string, data []byte) (*Report, error) {
	if len(data) < headBytes+sumBytes || (len(data)-headBytes-sumBytes)%loadBytes != 0 {
		return nil, errMalformed
	}
	body, code := data[:len(data)-sumBytes], data[len(data)-sumBytes:]
	if subtle.ConstantTimeCompare(code, sum(secret, body)) != 1 {
		return nil, errMalformed
	}
	r := &Report{
		Sender:   Key(binary.LittleEndian.Uint64(body)),
		Sequence: binary.LittleEndian.Uint32(body[8:]),
		Full:     body[12] == 1,
		Loads:    make(map[Key]Load, (len(body)-headBytes)/loadBytes),
	}
	for rest := body[headBytes:]; len(rest) > 0; rest = rest[loadBytes:] {
		r.Loads[Key(binary.LittleEndian.Uint64(rest))] = Load{
			Streams: int(rest[8]),
			Tight:   int(rest[9]),
			Reading: time.Duration(binary.LittleEndian.Uint16(rest[10:])) * time.Millisecond,
			Held:    int(binary.LittleEndian.Uint16(rest[12:])) * heldUnit,
		}
	}
	return r, nil
}

func sum(secret string, data []byte) []byte {
	code := hmac.New(sha256.New, []byte(secret))
	code.Write(data)
	return code.Sum(nil)[:sumBytes]
}

func clamp8(n int) byte { return byte(min(max(n, 0), math.MaxUint8)) }

func clamp16(n int64) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }
