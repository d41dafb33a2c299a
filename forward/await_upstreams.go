package forward

import (
	"time"

	"celeryport/resend"
)

// shouldAwaitUpstreams reports whether a call should wait for the first announcement of an
// upstream of its service. Upstreams announce themselves about once a second; without the wait,
// all calls that arrive just after a power loss of the whole fleet, or after a restart of the only
// upstream, would be refused until the first announcements arrive. The lock of the fleet must be
// held.
func (x *exchange) shouldAwaitUpstreams(now time.Time) bool {
	if now.Sub(x.server.startedAt) < startupGrace && now.Sub(x.began) < maxUpstreamsWait {
		return true
	}
	return x.absence().AwaitsAnnouncement(now)
}

// absence returns what the call knows about the absence of upstreams. The lock of the fleet must be
// held.
func (x *exchange) absence() *resend.Absence {
	return &resend.Absence{
		Began: x.began, Deadline: x.deadline, MissedAt: x.missedAt, Misses: x.failed.Missed(), ReplacedAt: x.server.fleet.lastReplaced(x.service.Name),
	}
}

const (
	// startupGrace is how long after its start an instance may not know its upstreams yet: two
	// announcement intervals and an election.
	startupGrace = 4 * time.Second
	// maxUpstreamsWait bounds the wait of one call: about one announcement interval.
	maxUpstreamsWait = time.Second
)
