package claim

import (
	"cmp"
	"slices"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"
)

// buckets is the number of parts in which a table is copied to another voter.
const buckets = 16

// table holds the votes of a voter.
//
// Rule of forgetting: a vote is dropped when its key is past the lifetime. The
// voter notes up to which time it has dropped (EpochState.Forgotten) and refuses
// every key that carries an earlier one, whatever its clock or its settings say
// later; who copies the votes takes the note along. So a key that carries its
// time never looks new again. An opaque key has no time: its lifetime runs from
// the vote or the outcome, and after it the key is a new one.
type table struct {
	parts       [buckets]map[Key]*Vote
	count       int
	answerBytes int
}

func bucketOf(k Key) int {
	h := xxhash.New()
	_, _ = h.WriteString(k.Organisation)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(k.Key)
	return int(h.Sum64() % buckets)
}

func (t *table) get(k Key) *Vote { return t.parts[bucketOf(k)][k] }

// put stores a vote in place of one for the same key.
func (t *table) put(v Vote) {
	b := bucketOf(v.Key)
	if t.parts[b] == nil {
		t.parts[b] = make(map[Key]*Vote)
	}
	t.remove(v.Key)
	// A few names stand in all votes; each message brought its own copy.
	v.Key.Organisation = unique.Make(v.Key.Organisation).Value()
	v.Holder.Instance = unique.Make(v.Holder.Instance).Value()
	t.parts[b][v.Key] = &v
	t.count++
	t.answerBytes += len(v.Outcome.Answer)
}

func (t *table) remove(k Key) {
	part := t.parts[bucketOf(k)]
	if old, ok := part[k]; ok {
		t.count--
		t.answerBytes -= len(old.Outcome.Answer)
		delete(part, k)
	}
}

// bucket returns the votes of one part in a fixed order.
func (t *table) bucket(b int) []Vote {
	votes := make([]Vote, 0, len(t.parts[b]))
	for _, v := range t.parts[b] {
		votes = append(votes, *v)
	}
	slices.SortFunc(votes, func(a, b Vote) int {
		return cmp.Or(cmp.Compare(a.Key.Organisation, b.Key.Organisation), cmp.Compare(a.Key.Key, b.Key.Key))
	})
	return votes
}

// expire drops what may be forgotten at now.
func (t *table) expire(now time.Time, lifetime time.Duration) {
	for b := range t.parts {
		for k, v := range t.parts[b] {
			if v.expired(now, lifetime) {
				t.remove(k)
			}
		}
	}
}

func (v *Vote) expired(now time.Time, lifetime time.Duration) bool {
	from := v.At
	if at, ok := v.Key.madeAt(); ok {
		from = at
	}
	return now.Sub(from) > lifetime
}

// merge returns what a voter must remember of a key of which two voters know
// different things. The result never frees what one of them holds. Two pending
// holders leave no holder at all: one of them may have won, and a release by
// the other must not free the key.
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
	case a.Holder == b.Holder: // one of them heard of the release
		merged.Outcome = Outcome{Kind: Released}
	default:
		merged.Holder, merged.Outcome = Holder{}, Outcome{}
	}
	return merged
}
