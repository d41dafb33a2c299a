package ledger

import "slices"

// unknownEnds lists the incarnations whose end is not known: an instance that
// is killed takes with it what it had not copied. Without this list the report
// would show less than happened and nobody could tell.
func unknownEnds(in *ReportInput) []UnknownEnd {
	ends := []UnknownEnd{}
	for id, known := range in.State.Incarnations {
		if in.Live[id] || known.Final || in.superseded(id, known) {
			continue
		}
		ends = append(ends, UnknownEnd{
			Instance:    id.Instance,
			Incarnation: id.Incarnation,
			Since:       known.At,
			InFlight:    known.inFlight(),
			Reason:      in.endReason(id),
		})
	}
	for id := range in.Listed {
		if !in.Live[id] && in.State.Incarnations[id] == nil {
			ends = append(ends, UnknownEnd{Instance: id.Instance, Incarnation: id.Incarnation, Reason: in.endReason(id)})
		}
	}
	slices.SortFunc(ends, func(a, b UnknownEnd) int {
		if c := a.Since.Compare(b.Since); c != 0 {
			return c
		}
		return ID{a.Instance, a.Incarnation}.Compare(ID{b.Instance, b.Incarnation})
	})
	return ends
}

// superseded reports whether an incarnation had ended before the report begins:
// its instance runs again, and its last copy is older.
func (in *ReportInput) superseded(id ID, known *Incarnation) bool {
	if in.Query.Since.IsZero() || !known.At.Before(in.Query.Since) {
		return false
	}
	for live := range in.Live {
		if live.Instance == id.Instance && live.Incarnation > id.Incarnation {
			return true
		}
	}
	return false
}

func (in *ReportInput) endReason(id ID) string {
	if in.Listed[id] {
		return EndNotReached
	}
	return EndDead
}

func (i *Incarnation) inFlight() int64 {
	var sum int64
	for _, counters := range i.Series {
		sum += counters.InFlight()
	}
	return sum
}
