package consensus

import "time"

// stall is a time for which a leader was held up, for instance by its disk or because its process was
// suspended. It sent no heartbeats meanwhile, so that nobody confirmed any.
type stall struct {
	forgiven bool
	endedAt  time.Time
}

// forgiveStall gives the majority the whole time to answer again after this leader was held up. If another
// leader was elected meanwhile, the answers say so. Without it, voters that share a slow disk
// would be without a leader for a whole election timeout after the disk had answered. A leader that is held
// up again before a majority has confirmed a round steps down.
func (l *leaderState) forgiveStall(now time.Time, heartbeat time.Duration) {
	if !l.stall.forgiven && now.Sub(l.heartbeatAt) > heartbeat {
		l.stall = stall{forgiven: true, endedAt: now}
	}
}

// silentSince returns the time since which no majority has confirmed a round although it could.
func (l *leaderState) silentSince() time.Time {
	if l.stall.endedAt.After(l.rounds.confirmedAt) {
		return l.stall.endedAt
	}
	return l.rounds.confirmedAt
}
