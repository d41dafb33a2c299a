package reach

import (
	"time"

	"celeryport/loadshare"
)

const (
	// Quorum is how many upstreams of a service have to fail before the paths count as lost, and how
	// many have to be reached one after the other before they count as restored. It is above the
	// number of upstreams that share a host in a small fleet; a service with fewer upstreams needs
	// fewer.
	Quorum = 4
	// evidenceTTL is how long a failed connection counts. An older one may have been due to a
	// cause that has passed, and the upstream has been tried again since.
	evidenceTTL = 2 * time.Second
)

// Paths tracks the new connections of one instance to the upstreams of one service. The zero value
// has no evidence against the paths. It is not safe for concurrent use.
//
// It answers the load of an instance that is partitioned from all or most of the upstreams while
// callers and the other instances still reach it: all its calls would try one upstream after the
// other, or overload the few that it still reaches.
type Paths struct {
	failed  map[loadshare.Key]time.Time // upstreams whose last connection failed
	reached map[loadshare.Key]struct{}  // others that were reached since the first of these failed
	streak  map[loadshare.Key]struct{}  // while lost: upstreams that were reached since the last failure
	lostAt  time.Time                   // zero: not lost
	partial bool                        // some upstream was reached since the first of these failed
	silent  bool                        // some of these accepted a connection and sent no answer
}

// Connected records a new connection to an upstream and reports whether it ended a loss of the paths.
// known is the number of upstreams of the service. Data on a connection that was open before is no
// such evidence: it may live on while new ones fail. Nor is a new connection as long as answers fail
// to come: something between may accept connections and pass no data.
func (p *Paths) Connected(key loadshare.Key, known int) (restored bool) {
	if p.silent {
		return false
	}
	return p.Answered(key, known)
}

// Answered records an answer on a new connection to an upstream and reports whether it ended a loss of
// the paths.
func (p *Paths) Answered(key loadshare.Key, known int) (restored bool) {
	delete(p.failed, key)
	p.silent = p.silent && (p.Lost() || len(p.failed) > 0)
	p.partial = p.Lost() || len(p.failed) > 0
	switch {
	case p.Lost():
		insert(&p.streak, key)
		if len(p.streak) < restoreQuorum(known) {
			return false
		}
		*p = Paths{}
		return true
	case len(p.failed) == 0:
		clear(p.reached)
	default:
		insert(&p.reached, key)
	}
	return false
}

// restoreQuorum is lower than the number of a few upstreams, some of which may have ended.
func restoreQuorum(known int) int { return min(Quorum, known/2+1) }

// Failed records that an upstream took no new connection, and reports whether the paths are lost
// from now on: several upstreams have failed, at least twice as many as were reached meanwhile.
func (p *Paths) Failed(now time.Time, key loadshare.Key, known int) (lost bool) {
	p.expire(now)
	if p.failed == nil {
		p.failed = map[loadshare.Key]time.Time{}
	}
	p.failed[key] = now
	delete(p.reached, key)
	clear(p.streak)
	if p.Lost() || known == 0 || len(p.failed) < min(Quorum, known) || len(p.failed) < 2*len(p.reached) {
		return false
	}
	p.lostAt = now
	return true
}

// Unanswered records that an upstream did not answer a message that is usually answered within a round
// trip, and reports whether the paths are lost from now on. Until they are known to hold, only answers
// are evidence for them. The silence of the only upstream of a service shows nothing: it may be busy.
func (p *Paths) Unanswered(now time.Time, key loadshare.Key, known int) (lost bool) {
	if known < 2 && !p.Lost() {
		return false
	}
	lost = p.Failed(now, key, known)
	p.silent = true
	return lost
}

// Reset records that an upstream took a new connection and reset it at once, and reports whether the paths are
// lost from now on. The next connection may be accepted and end likewise, so that only answers count then.
func (p *Paths) Reset(now time.Time, key loadshare.Key, known int) (lost bool) {
	lost = p.Failed(now, key, known)
	p.silent = true
	return lost
}

// Late records that the answer to a message that counted as unanswered has come after all: the
// upstream was busy. It does not end a loss, for the connection may have lived on.
func (p *Paths) Late(key loadshare.Key) {
	if !p.Lost() {
		delete(p.failed, key)
		p.silent = p.silent && len(p.failed) > 0
	}
}

// NeedsAnswer reports whether a new connection without an answer shows nothing about the paths.
func (p *Paths) NeedsAnswer(now time.Time) bool {
	p.expire(now)
	return p.silent
}

// expire removes old failures. While the paths are lost, few upstreams are tried, and failures count
// until the upstreams are reached.
func (p *Paths) expire(now time.Time) {
	if p.Lost() {
		return
	}
	for key, at := range p.failed {
		if now.Sub(at) > evidenceTTL {
			delete(p.failed, key)
		}
	}
	if len(p.failed) == 0 {
		clear(p.reached)
		p.partial, p.silent = false, false
	}
}

// Lost reports whether the paths are lost.
func (p *Paths) Lost() bool { return !p.lostAt.IsZero() }

// Severed reports whether the paths are lost and not one upstream was reached meanwhile. If most
// upstreams have ended, as those that run the same fatal request do, some are reached.
func (p *Paths) Severed() bool { return p.Lost() && !p.partial }

// LostFor returns for how long the paths have been lost, 0 if they are not.
func (p *Paths) LostFor(now time.Time) time.Duration {
	if !p.Lost() {
		return 0
	}
	return now.Sub(p.lostAt)
}

// Doubtful reports whether more upstreams have failed than were reached since, so that it is open
// whether they or the paths failed.
func (p *Paths) Doubtful(now time.Time) bool {
	p.expire(now)
	return p.Lost() || len(p.failed) > len(p.reached)
}

// Missing returns how many further upstreams have to be tried to decide whether the paths are lost or
// restored, if all of them show the same.
func (p *Paths) Missing(now time.Time, known int) int {
	switch {
	case p.Lost():
		return max(1, restoreQuorum(known)-len(p.streak))
	case p.Doubtful(now):
		return max(1, min(Quorum, known)-len(p.failed))
	default:
		return 0
	}
}

// Decided reports whether another connection to the upstream would show nothing new.
func (p *Paths) Decided(key loadshare.Key) bool {
	if p.Lost() {
		_, reached := p.streak[key]
		return reached
	}
	_, failed := p.failed[key]
	_, reached := p.reached[key]
	return failed || reached
}

func insert(set *map[loadshare.Key]struct{}, key loadshare.Key) {
	if *set == nil {
		*set = map[loadshare.Key]struct{}{}
	}
	(*set)[key] = struct{}{}
}
