package consensus

import "time"

type progressState uint8

const (
	// streaming sends entries without waiting for responses.
	streaming progressState = iota
	// probing searches for the last matching entry, one message at a time.
	probing
	// snapshotting waits until the member has installed a snapshot.
	snapshotting
)

// Limits on unacknowledged entries per member, by count and by approximate size.
// They keep a slow member from using up the leader's memory.
const (
	windowEntries = 1024
	windowBytes   = 4 << 20
)

// progress is the leader's view of one member's replication progress.
type progress struct {
	state        progressState
	match        uint64    // last index known to be synced on the member
	next         uint64    // next index to send
	sent         int       // bytes sent since match last advanced
	round        uint64    // last heartbeat round that the member confirmed
	confirmedAt  time.Time // send time of that round
	snapshotSent time.Time
	snapshot     uint64 // index of the snapshot being sent
}

func (p *progress) paused() bool {
	return p.state != streaming || p.next > p.match+windowEntries || p.sent >= windowBytes
}

// acknowledge records that the member has synced the log up to an index. It
// reports whether match advanced.
func (p *progress) acknowledge(index uint64) bool {
	advanced := index > p.match
	if advanced {
		p.sent = 0
	}
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	switch {
	case p.state == probing && index+1 >= p.next:
		p.state = streaming
	case p.state == snapshotting && p.match >= p.snapshot:
		p.state = streaming
	}
	return advanced
}

// reject records that the member has no matching entry at an index, and reports
// whether the leader should probe again. An outdated rejection has no effect.
func (p *progress) reject(index, hint uint64) bool {
	if p.state == snapshotting || index <= p.match || index >= p.next {
		return false
	}
	p.next = max(p.match+1, min(index, hint+1))
	p.state = probing
	p.sent = 0
	return true
}
