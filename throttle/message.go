package throttle

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/loadshare"
)

// MaxFactsPerMessage is the maximum number of facts in one message, so that it
// fits into a packet.
const MaxFactsPerMessage = 60

const (
	factBytes = 8 + 4 + 1 + 4
	flagNamed = 1
)

var errMalformed = errors.New("malformed rate message")

// Message is the content of one datagram.
type Message struct {
	WantsReply bool // the sender requests the facts that it lacks
	Facts      []Fact
}

// roundedForWire returns a rate rounded to the precision of a message.
func roundedForWire(rate float64) float64 { return float64(float32(rate)) }

// Encode returns the content of the datagram. Times are sent as ages, because
// the clocks of two instances are unrelated.
func (m *Message) Encode(now time.Time) []byte {
	data := make([]byte, 1, 1+factBytes*len(m.Facts))
	if m.WantsReply {
		data[0] = 1
	}
	for i := range m.Facts {
		f := &m.Facts[i]
		data = binary.LittleEndian.AppendUint64(data, uint64(f.Upstream))
		data = binary.LittleEndian.AppendUint32(data, math.Float32bits(float32(f.Rate)))
		flags := byte(0)
		if f.Named {
			flags = flagNamed
		}
		data = append(data, flags)
		data = binary.LittleEndian.AppendUint32(data, uint32(max(0, now.Sub(f.At)).Milliseconds()))
	}
	return data
}

// Decode parses the content of a datagram that arrived at now.
func Decode(now time.Time, data []byte) (*Message, error) {
	if len(data) == 0 || data[0] > 1 || (len(data)-1)%factBytes != 0 || len(data) > 1+MaxFactsPerMessage*factBytes {
		return nil, errMalformed
	}
	m := &Message{WantsReply: data[0] == 1}
	for rest := data[1:]; len(rest) > 0; rest = rest[factBytes:] {
		rate := float64(math.Float32frombits(binary.LittleEndian.Uint32(rest[8:])))
		if rest[12] > flagNamed || !(rate >= 0) || math.IsInf(rate, 0) {
			return nil, errMalformed
		}
		age := time.Duration(binary.LittleEndian.Uint32(rest[13:])) * time.Millisecond
		m.Facts = append(m.Facts, Fact{
			Upstream: loadshare.Key(binary.LittleEndian.Uint64(rest)), Rate: rate, Named: rest[12] == flagNamed, At: now.Add(-age),
		})
	}
	return m, nil
}
