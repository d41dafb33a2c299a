package quarantine

import (
	"slices"
	"time"
)

// Isolation admits one send at a time with each suspected part, on one instance. Upstreams that come back
// take all calls that waited for them at once: they would end under many lethal requests of several kinds,
// which tells less about the parts than an end under one, and all these calls would be repeated. It keeps
// at most one entry for each suspected part. Isolation is not safe for concurrent use.
type Isolation struct {
	running []isolated
	last    uint64 // ticket issued last
}

// isolated is a send that holds back others with the same suspected parts.
type isolated struct {
	ticket uint64
	parts  []Part
	until  time.Time
}

// IsolationWait is how long a send without a result holds back others: an upstream that a request crashes
// ends about this soon after it began to answer.
const IsolationWait = 400 * time.Millisecond

// Admit reports whether a send with some suspected parts may begin, and the ticket by which it ends. The
// ticket is 0 if there are no such parts. suspected must not be changed afterwards.
func (i *Isolation) Admit(now time.Time, suspected []Part) (ticket uint64, admitted bool) {
	if len(suspected) == 0 {
		return 0, true
	}
	i.running = slices.DeleteFunc(i.running, func(s isolated) bool { return !now.Before(s.until) })
	if i.Holds(now, suspected) {
		return 0, false
	}
	i.last++
	i.running = append(i.running, isolated{ticket: i.last, parts: suspected, until: now.Add(IsolationWait)})
	return i.last, true
}

// Holds reports whether another send holds back one with some suspected parts.
func (i *Isolation) Holds(now time.Time, suspected []Part) bool {
	return slices.ContainsFunc(i.running, func(s isolated) bool {
		return now.Before(s.until) && slices.ContainsFunc(s.parts, func(p Part) bool { return slices.Contains(suspected, p) })
	})
}

// End records that an admitted send has ended. It holds back others for some more time, until the evidence
// that it may have given counts; 0: it has given none.
func (i *Isolation) End(now time.Time, ticket uint64, hold time.Duration) {
	at := slices.IndexFunc(i.running, func(s isolated) bool { return s.ticket == ticket })
	switch {
	case at < 0:
	case hold > 0:
		i.running[at].until = now.Add(hold)
	default:
		i.running = slices.Delete(i.running, at, at+1)
	}
}
