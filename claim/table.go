package claim

import (
	"cmp"
	"slices"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets in which a table is copied to another voter.
const bucketCount = 16

// table stores the votes of a voter.
//
// A vote is dropped when the lifetime of its key has passed. The voter records the
// time up to which it has dropped votes (EpochState.DroppedBefore) and rejects
// every key with an earlier timestamp, regardless of later changes to its clock or
// settings. A voter that copies the votes also takes over this time. A key with a
// timestamp is therefore never treated as new again. An opaque key has no
// timestamp: its lifetime starts with the vote or the outcome, and after that the
// key is treated as new.
type table struct {
	buckets     [bucketCount]map[Key]*Vote
	count       int
	answerBytes int
}

func bucketOf(k Key) int {
	h := xxhash.New()
	_, _ = h.WriteString(k.Organisation)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(k.Key)
	return int(h.Sum64() % bucketCount)
}

func (t *table) get(k Key) *Vote { return t.buckets[bucketOf(k)][k] }

// put stores a vote and replaces any vote for the same key.
func (t *table) put(v Vote) {
	b := bucketOf(v.Key)
	if t.buckets[b] == nil {
		t.buckets[b] = make(map[Key]*Vote)
	}
	t.remove(v.Key)
	// Intern these strings: a few names occur in all votes, and each decoded message
	// has its own copy.
	v.Key.Organisation = unique.Make(v.Key.Organisation).Value()
	v.Holder.Instance = unique.Make(v.Holder.Instance).Value()
	t.buckets[b][v.Key] = &v
	t.count++
	t.answerBytes += len(v.Outcome.Answer)
}

func (t *table) remove(k Key) {
	bucket := t.buckets[bucketOf(k)]
	if old, ok := bucket[k]; ok {
		t.count--
		t.answerBytes -= len(old.Outcome.Answer)
		delete(bucket, k)
	}
}

// bucket returns the votes of one bucket in a fixed order.
func (t *table) bucket(b int) []Vote {
	votes := make([]Vote, 0, len(t.buckets[b]))
	for _, v := range t.buckets[b] {
		votes = append(votes, *v)
	}
	slices.SortFunc(votes, func(a, b Vote) int {
		return cmp.Or(cmp.Compare(a.Key.Organisation, b.Key.Organisation), cmp.Compare(a.Key.Key, b.Key.Key))
	})
	return votes
}

// expire drops the votes whose keys have expired at now.
func (t *table) expire(now time.Time, lifetime time.Duration) {
	for b := range t.buckets {
		for k, v := range t.buckets[b] {
			if v.expired(now, lifetime) {
				t.remove(k)
			}
		}
	}
}

func (v *Vote) expired(now time.Time, lifetime time.Duration) bool {
	from := v.At
	if at, ok := v.Key.createdAt(); ok {
		from = at
	}
	return now.Sub(from) > lifetime
}

// merge combines two voters' votes for the same key. The result never frees a key
// that one of the votes holds. Two different pending holders are merged into an
// unknown holder: one of them may have won, and a release by the other must not
// free the key.
func merge(a, b Vote) Vote {
	if a.At.Before(b.At) {
		a, b = b, a
	}
	merged := a
	switch {
	case a.Outcome.Kind == Done:
	case b.Outcome.Kind == Done:
		merged.Holder, merged.Outcome = b.Holder, b.Outcome
	case a.Outcome.Kind == Released && b.Outcome.Kind == Released, a.Holder == b.Holder && a.Outcome.Kind == b.Outcome.Kind:
	case a.Outcome.Kind == Released && a.Holder != b.Holder:
		merged.Holder, merged.Outcome = b.Holder, b.Outcome
	case b.Outcome.Kind == Released && a.Holder != b.Holder:
	case a.Holder == b.Holder: // one of the voters received the release
		merged.Outcome = Outcome{Kind: Released}
	default:
		merged.Holder, merged.Outcome = Holder{}, Outcome{}
	}
	return merged
}
