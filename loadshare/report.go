package loadshare

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Key identifies an upstream in a report.
type Key uint64

// KeyOf returns the key of an upstream's name. Two names collide about once in 10^13 pairs; the
// only effect would be that each of the two upstreams shows the load of both.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Report is the content of one datagram.
type Report struct {
	Sender   Key    // hash of the name and incarnation of the instance
	Zone     Key    // availability zone that the report aggregates; 0: only the sender's own loads
	Sequence uint32 // increases with each report of the sender
	Full     bool   // upstreams not listed have no load from the sender
	Loads    map[Key]Load
}

const (
	headerBytes = 8 + 8 + 4 + 1
	loadBytes   = 8 + 7*1 + 2*2
	// failingUnit and doubtUnit pack three counts into one byte. Higher counts than fit are capped; of
	// the lower two, two are enough to avoid an upstream.
	failingUnit = 4
	doubtUnit   = 4 * failingUnit
	maxDoubts   = 256/doubtUnit - 1
	// heldUnit is the granularity in which held tokens are reported.
	heldUnit = 1024
)

var errMalformed = errors.New("malformed load report")

// Encode returns the payload of the datagram.
func (r *Report) Encode() []byte {
	data := make([]byte, headerBytes, headerBytes+loadBytes*len(r.Loads))
	binary.LittleEndian.PutUint64(data, uint64(r.Sender))
	binary.LittleEndian.PutUint64(data[8:], uint64(r.Zone))
	binary.LittleEndian.PutUint32(data[16:], r.Sequence)
	if r.Full {
		data[20] = 1
	}
	for key, load := range r.Loads {
		data = binary.LittleEndian.AppendUint64(data, uint64(key))
		data = append(data, clamp8(load.Streams), clamp8(load.Tight), clamp8(load.Leading), clamp8(load.Helping),
			clampTo(load.Suspicions, failingUnit-1)+clampTo(load.Failing, failingUnit-1)*failingUnit+clampTo(load.Doubts, maxDoubts)*doubtUnit, clamp8(load.Pace), clamp8(load.Late))
		data = binary.LittleEndian.AppendUint16(data, clamp16(load.PrefillTime.Milliseconds()))
		data = binary.LittleEndian.AppendUint16(data, clamp16(int64((load.Held+heldUnit-1)/heldUnit)))
	}
	return data
}

// Decode decodes the payload of a datagram.
func Decode(body []byte) (*Report, error) {
	if len(body) < headerBytes || (len(body)-headerBytes)%loadBytes != 0 {
		return nil, errMalformed
	}
	r := &Report{
		Sender:   Key(binary.LittleEndian.Uint64(body)),
		Zone:     Key(binary.LittleEndian.Uint64(body[8:])),
		Sequence: binary.LittleEndian.Uint32(body[16:]),
		Full:     body[20] == 1,
		Loads:    make(map[Key]Load, (len(body)-headerBytes)/loadBytes),
	}
	for rest := body[headerBytes:]; len(rest) > 0; rest = rest[loadBytes:] {
		r.Loads[Key(binary.LittleEndian.Uint64(rest))] = Load{
			Streams:     int(rest[8]),
			Tight:       int(rest[9]),
			Leading:     int(rest[10]),
			Helping:     int(rest[11]),
			Suspicions:  int(rest[12]) % failingUnit,
			Failing:     int(rest[12]) / failingUnit % failingUnit,
			Doubts:      int(rest[12]) / doubtUnit,
			Pace:        int(rest[13]),
			Late:        int(rest[14]),
			PrefillTime: time.Duration(binary.LittleEndian.Uint16(rest[15:])) * time.Millisecond,
			Held:        int(binary.LittleEndian.Uint16(rest[17:])) * heldUnit,
		}
	}
	return r, nil
}

func clampTo(n, most int) byte { return byte(min(max(n, 0), most)) }

func clamp8(n int) byte { return byte(min(max(n, 0), math.MaxUint8)) }

func clamp16(n int64) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }
