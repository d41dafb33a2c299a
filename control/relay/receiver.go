package relay

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"celeryport/pack"
	"celeryport/rpc"
	"celeryport/upstream"
)

// Receiver restores announcements from the deltas of one sender.
type Receiver struct {
	position uint64
	known    map[uint32]upstream.Announcement
}

// ErrGap means that a delta does not follow the receiver's position. The receiver must then
// request the full table, from position 0.
var ErrGap = errors.New("upstream delta does not follow the previous one")

// NewReceiver returns a receiver at position 0.
func NewReceiver() *Receiver { return &Receiver{known: map[uint32]upstream.Announcement{}} }

// Position returns the number of the last batch that was applied.
func (r *Receiver) Position() uint64 { return r.position }

// Apply applies a delta and returns its announcements. transit is the maximum time that the
// delta was under way. It is added to the ages, so that no announcement looks fresher than
// it is. Batches that were already applied are skipped.
func (r *Receiver) Apply(delta []byte, transit time.Duration) ([]upstream.Relayed, error) {
	if len(delta) == 0 {
		return nil, nil
	}
	var d rpc.UpstreamDelta
	if err := proto.Unmarshal(delta, &d); err != nil {
		return nil, errors.Wrap(err, "decode upstreams")
	}
	if d.Full && d.Position < r.position {
		return nil, nil // a newer delta arrived first
	}
	if d.Full {
		r.position = 0
		r.known = map[uint32]upstream.Announcement{}
	}
	var all []upstream.Relayed
	for _, b := range d.Batches {
		relayed, err := r.applyBatch(b, d.Full, transit+time.Duration(b.AgeMs)*time.Millisecond)
		if err != nil {
			return nil, err
		}
		all = append(all, relayed...)
	}
	return all, nil
}

func (r *Receiver) applyBatch(sent *rpc.SentBatch, full bool, age time.Duration) ([]upstream.Relayed, error) {
	if sent.Number <= r.position {
		return nil, nil
	}
	if !full && sent.Number != r.position+1 {
		return nil, ErrGap
	}
	content, err := pack.Unpack(sent.Batch) // full tables are compressed, single batches are not
	if err != nil {
		return nil, err
	}
	var b rpc.UpstreamBatch
	if err := proto.Unmarshal(content, &b); err != nil {
		return nil, errors.Wrap(err, "decode a batch of upstreams")
	}
	if err := checkColumns(&b); err != nil {
		return nil, err
	}
	all, err := r.applyAdded(&b, age)
	if err != nil {
		return nil, err
	}
	loads, err := r.applyLoads(&b, age)
	if err != nil {
		return nil, err
	}
	r.position = sent.Number
	return append(all, loads...), nil
}

// checkColumns rejects a batch whose columns have inconsistent lengths.
func checkColumns(b *rpc.UpstreamBatch) error {
	loads, added, rates := len(b.Refs), len(b.NewRefs), len(b.RateRefs)
	if len(b.Ages) != loads {
		return errors.New("columns of different lengths")
	}
	for _, column := range [][]uint32{b.Running, b.QueuedPrefill, b.Held} {
		if len(column) != loads && len(column) != 0 {
			return errors.New("columns of different lengths")
		}
	}
	if len(b.Announcements) != added || len(b.NewAges) != added || len(b.PrefillRates) != rates || len(b.DecodeRates) != rates {
		return errors.New("columns of different lengths")
	}
	return nil
}

func (r *Receiver) applyAdded(b *rpc.UpstreamBatch, age time.Duration) ([]upstream.Relayed, error) {
	all := make([]upstream.Relayed, 0, len(b.NewRefs)+len(b.Refs))
	for i, ref := range b.NewRefs {
		var a upstream.Announcement
		if err := json.Unmarshal(b.Announcements[i], &a); err != nil {
			return nil, errors.Wrap(err, "decode an upstream")
		}
		r.known[ref] = a
		all = append(all, upstream.Relayed{Announcement: a, Age: age + time.Duration(b.NewAges[i])*ageUnit})
	}
	return all, nil
}

func (r *Receiver) applyLoads(b *rpc.UpstreamBatch, age time.Duration) ([]upstream.Relayed, error) {
	if err := r.applyRates(b); err != nil {
		return nil, err
	}
	all := make([]upstream.Relayed, len(b.Refs))
	refs := make([]uint32, len(b.Refs))
	ref := uint32(0)
	for i, gap := range b.Refs {
		ref += gap
		a, found := r.known[ref]
		if !found {
			return nil, ErrGap
		}
		a.Sequence += defaultStep
		a.Load.Running = valueAt(b.Running, i)
		a.Load.QueuedPrefill = valueAt(b.QueuedPrefill, i) * prefillUnit
		a.Load.HeldTokens = valueAt(b.Held, i) * heldUnit
		refs[i] = ref
		all[i] = upstream.Relayed{Announcement: a, Age: age + time.Duration(b.Ages[i])*ageUnit, LoadOnly: true}
	}
	if err := applySparse(b, all); err != nil {
		return nil, err
	}
	for i, ref := range refs {
		r.known[ref] = all[i].Announcement
	}
	return all, nil
}

// applySparse applies the columns that hold only the values that differ from their default.
func applySparse(b *rpc.UpstreamBatch, all []upstream.Relayed) error {
	columns := []struct {
		column *rpc.Sparse
		set    func(a *upstream.Announcement, value uint32)
	}{
		{b.Sequences, func(a *upstream.Announcement, v uint32) { a.Sequence += uint64(v) - defaultStep }},
		{b.Waiting, func(a *upstream.Announcement, v uint32) { a.Load.Waiting = int(v) }},
		{b.LongPrefill, func(a *upstream.Announcement, v uint32) { a.Load.LongPrefill = int(v) * prefillUnit }},
		{b.LoadAges, func(a *upstream.Announcement, v uint32) { a.Load.Age = time.Duration(v) * loadAgeUnit }},
	}
	for _, c := range columns {
		err := forEachValue(c.column, len(all), func(position int, value uint32) { c.set(&all[position].Announcement, value) })
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Receiver) applyRates(b *rpc.UpstreamBatch) error {
	for i, ref := range b.RateRefs {
		a, found := r.known[ref]
		if !found {
			return ErrGap
		}
		a.Load.PrefillRate = float64(b.PrefillRates[i])
		a.Load.DecodeRate = float64(b.DecodeRates[i])
		r.known[ref] = a
	}
	return nil
}
