package relay

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"celeryport/pack"
	"celeryport/rpc"
	"celeryport/upstream"
)

const (
	maxBatches = 16        // a receiver that is further behind gets the full table
	retention  = time.Hour // upstreams that have not announced themselves for this long are removed from the table
)

// Sender collects announcements into numbered batches. Each batch is encoded once for all
// receivers.
type Sender struct {
	table     map[string]*tableEntry
	lastRef   uint32
	number    uint64
	batches   []batch // oldest first
	fullTable batch   // cached encoding of the full table as of a batch; empty before the first request
}

// tableEntry is the state of an upstream as of the last batch.
type tableEntry struct {
	ref          uint32
	announcement upstream.Announcement
	receivedAt   time.Time
}

// coldTolerance is the difference in the end of an upstream's cold time that is not worth a full
// announcement: ages are rounded, and heartbeats take different times.
const coldTolerance = 400 * time.Millisecond

func (u *tableEntry) coldUntil() time.Time { return u.receivedAt.Add(u.announcement.ColdFor) }

// coldEndMoves reports whether an upstream now states a noticeably different end of its cold
// time. Ends in the past are equal.
func (u *tableEntry) coldEndMoves(now, until time.Time) bool {
	left, leftBefore := max(0, until.Sub(now)), max(0, u.coldUntil().Sub(now))
	return (left - leftBefore).Abs() > coldTolerance
}

type batch struct {
	number  uint64
	at      time.Time
	encoded []byte
}

// NewSender returns a sender that knows no upstream.
func NewSender() *Sender { return &Sender{table: map[string]*tableEntry{}} }

// Add creates a batch of the changes since the last one. It creates none if there are no
// changes.
func (s *Sender) Add(now time.Time, changes []upstream.Relayed) error {
	s.expire(now)
	if len(changes) == 0 {
		return nil
	}
	var b rpc.UpstreamBatch
	var known []*tableEntry
	before := map[uint32]upstream.Announcement{}
	for _, c := range changes {
		old := s.table[c.Announcement.Name]
		receivedAt := now.Add(-c.Age)
		if old == nil || !sameIdentity(&old.announcement, &c.Announcement) || old.coldEndMoves(now, receivedAt.Add(c.Announcement.ColdFor)) {
			if err := s.addNew(&b, c, receivedAt); err != nil {
				return err
			}
			continue
		}
		before[old.ref] = old.announcement
		coldUntil := old.coldUntil()
		old.announcement, old.receivedAt = c.Announcement, receivedAt
		old.announcement.ColdFor = max(0, coldUntil.Sub(receivedAt))
		known = append(known, old)
	}
	s.addLoads(now, &b, known, before)
	encoded, err := proto.Marshal(&b)
	if err != nil {
		return errors.Wrap(err, "encode upstreams")
	}
	s.number++
	s.batches = append(s.batches, batch{s.number, now, encoded})
	if excess := len(s.batches) - maxBatches; excess > 0 {
		s.batches = slices.Delete(s.batches, 0, excess)
	}
	return nil
}

// Position returns the number of the last batch.
func (s *Sender) Position() uint64 { return s.number }

// Since encodes what a receiver at the given position lacks, nil if nothing.
func (s *Sender) Since(now time.Time, position uint64) ([]byte, error) {
	if position == s.number {
		return nil, nil
	}
	if position == 0 || position > s.number || len(s.batches) == 0 || s.batches[0].number > position+1 {
		return s.full(now)
	}
	delta := rpc.UpstreamDelta{Position: s.number}
	for _, b := range s.batches {
		if b.number > position {
			delta.Batches = append(delta.Batches, sentBatch(now, b))
		}
	}
	encoded, err := proto.Marshal(&delta)
	return encoded, errors.Wrap(err, "encode upstreams")
}

func sentBatch(now time.Time, b batch) *rpc.SentBatch {
	return &rpc.SentBatch{AgeMs: unitsOf(now.Sub(b.at), time.Millisecond), Number: b.number, Batch: b.encoded}
}

// full encodes the full table as of the last batch. When a fleet starts, all its instances
// request the table almost at once, and encoding hundreds of upstreams takes milliseconds.
// The encoding is therefore reused until the next batch.
func (s *Sender) full(now time.Time) ([]byte, error) {
	if s.fullTable.number != s.number || len(s.fullTable.encoded) == 0 {
		encoded, err := s.encodeTable(now)
		if err != nil {
			return nil, err
		}
		s.fullTable = batch{number: s.number, at: now, encoded: encoded}
	}
	delta := rpc.UpstreamDelta{Position: s.number, Full: true, Batches: []*rpc.SentBatch{sentBatch(now, s.fullTable)}}
	encoded, err := proto.Marshal(&delta)
	return encoded, errors.Wrap(err, "encode upstreams")
}

// encodeTable encodes all upstreams as one compressed batch.
func (s *Sender) encodeTable(now time.Time) ([]byte, error) {
	var b rpc.UpstreamBatch
	for _, u := range s.sorted() {
		if err := appendNew(&b, u.ref, &u.announcement, now.Sub(u.receivedAt)); err != nil {
			return nil, err
		}
	}
	encoded, err := proto.Marshal(&b)
	if err != nil {
		return nil, errors.Wrap(err, "encode upstreams")
	}
	return pack.Text(encoded)
}

func (s *Sender) sorted() []*tableEntry {
	all := make([]*tableEntry, 0, len(s.table))
	for _, u := range s.table {
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b *tableEntry) int { return strings.Compare(a.announcement.Name, b.announcement.Name) })
	return all
}

// addNew assigns an upstream a new reference. References are never reused, so a receiver
// that missed a batch cannot mistake one upstream for another.
func (s *Sender) addNew(b *rpc.UpstreamBatch, c upstream.Relayed, receivedAt time.Time) error {
	s.lastRef++
	s.table[c.Announcement.Name] = &tableEntry{ref: s.lastRef, announcement: c.Announcement, receivedAt: receivedAt}
	return appendNew(b, s.lastRef, &c.Announcement, c.Age)
}

func appendNew(b *rpc.UpstreamBatch, ref uint32, a *upstream.Announcement, age time.Duration) error {
	bare := *a
	bare.CacheEvents = nil
	encoded, err := json.Marshal(&bare)
	if err != nil {
		return errors.Wrap(err, "encode an upstream")
	}
	b.NewRefs = append(b.NewRefs, ref)
	b.Announcements = append(b.Announcements, encoded)
	b.NewAges = append(b.NewAges, unitsOf(age, ageUnit))
	return nil
}

func (s *Sender) expire(now time.Time) {
	for name, u := range s.table {
		if now.Sub(u.receivedAt) > retention {
			delete(s.table, name)
		}
	}
}

// sameIdentity reports whether two announcements differ only in load and sequence number.
func sameIdentity(a, b *upstream.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Kind == b.Kind &&
		a.Version == b.Version && a.AvailabilityZone == b.AvailabilityZone &&
		a.MemoryTokens == b.MemoryTokens && a.Slots == b.Slots && a.Fencing == b.Fencing &&
		a.Leaving == b.Leaving && b.Sequence >= a.Sequence &&
		slices.Equal(a.Targets, b.Targets) && slices.Equal(a.Adapters, b.Adapters)
}
