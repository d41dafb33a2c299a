package ledger

import "slices"

// unknownEnds lists the incarnations whose final counters are unknown. An instance
// that is killed loses the counters that it had not copied yet; this list shows that
// a report may be incomplete.
func unknownEnds(in *ReportInput) []UnknownEnd {
	ends := []UnknownEnd{}
	for id, inc := range in.State.Incarnations {
		if in.Live[id] || inc.Final || in.superseded(id, inc) {
			continue
		}
		ends = append(ends, UnknownEnd{
			Instance:    id.Instance,
			Incarnation: id.Incarnation,
			Since:       inc.At,
			InFlight:    inc.inFlight(),
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

// superseded reports whether an incarnation ended before the start of the report:
// its last copy is older than that, and a later incarnation of the instance is live.
func (in *ReportInput) superseded(id ID, inc *Incarnation) bool {
	if in.Query.Since.IsZero() || !inc.At.Before(in.Query.Since) {
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
		return EndUnreachable
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
