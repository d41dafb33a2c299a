package reach

import (
	"time"

	"celeryport/loadshare"
)

const (
	// Quorum is how many upstreams of a service have to fail, with none reached in between, before
	// the paths count as lost. It is above the number of upstreams that share a host or a rack in
	// a small fleet; a service with fewer upstreams needs all of them.
	Quorum = 4
	// evidenceTTL is how long a failed connection counts. An older one may have been due to a
	// cause that has passed, and the upstream has been tried again since.
	evidenceTTL = 2 * time.Second
)

// Paths tracks the new connections of one instance to the upstreams of one service. The zero value
// has no evidence against the paths. It is not safe for concurrent use.
//
// It answers the load of an instance that is partitioned from the upstreams while callers and the
// other instances still reach it: all its calls would try one upstream after the other.
type Paths struct {
	failed map[loadshare.Key]time.Time // upstreams that failed since the last one was reached
	lostAt time.Time                   // zero: not lost
}

// Connected records a new connection to any upstream of the service and reports whether it ended
// a loss of the paths. Data on a connection that was open before is no such evidence: it may live
// on while new ones fail.
func (p *Paths) Connected() (restored bool) {
	restored = p.Lost()
	p.lostAt = time.Time{}
	clear(p.failed)
	return restored
}

// Failed records that an upstream took no new connection, and reports whether the paths are lost
// from now on. known is the number of upstreams of the service.
func (p *Paths) Failed(now time.Time, key loadshare.Key, known int) (lost bool) {
	if p.failed == nil {
		p.failed = map[loadshare.Key]time.Time{}
	}
	for other, at := range p.failed {
		if now.Sub(at) > evidenceTTL {
			delete(p.failed, other)
		}
	}
	p.failed[key] = now
	if p.Lost() || known == 0 || len(p.failed) < min(Quorum, known) {
		return false
	}
	p.lostAt = now
	return true
}

// Lost reports whether the paths are lost: until a new connection succeeds.
func (p *Paths) Lost() bool { return !p.lostAt.IsZero() }

// LostFor returns for how long the paths have been lost, 0 if they are not.
func (p *Paths) LostFor(now time.Time) time.Duration {
	if !p.Lost() {
		return 0
	}
	return now.Sub(p.lostAt)
}

// Doubtful reports whether upstreams have failed and none was reached since, so that it is open
// whether they or the paths failed.
func (p *Paths) Doubtful(now time.Time) bool {
	if p.Lost() {
		return true
	}
	for _, at := range p.failed {
		if now.Sub(at) <= evidenceTTL {
			return true
		}
	}
	return false
}

// Missing returns how many further upstreams have to fail before the paths count as lost.
func (p *Paths) Missing() int {
	if p.Lost() {
		return 0
	}
	return max(0, Quorum-len(p.failed))
}

// Suspected reports whether a connection to the upstream failed since the last success.
func (p *Paths) Suspected(key loadshare.Key) bool {
	_, failed := p.failed[key]
	return failed
}
