package consensus

import "time"

type progressState uint8

const (
	// streaming sends entries without waiting for answers.
	streaming progressState = iota
	// probing looks for the last equal entry, one message at a time.
	probing
	// snapshotting waits for a snapshot to be installed.
	snapshotting
)

// The window bounds what is on its way to one member, in entries and about in
// bytes: a member that takes in slowly must not fill the leader's memory.
const (
	windowEntries = 1024
	windowBytes   = 4 << 20
)

// progress is what the leader knows of one other member.
type progress struct {
	state        progressState
	match        uint64    // last index known to be synced there
	next         uint64    // next index to send
	sent         int       // bytes sent since the last news of match
	round        uint64    // last heartbeat round that it confirmed
	confirmedAt  time.Time // when that round was sent
	snapshotSent time.Time
	snapshot     uint64 // index of the snapshot on its way
}

func (p *progress) paused() bool {
	return p.state != streaming || p.next > p.match+windowEntries || p.sent >= windowBytes
}

// matched notes that the member holds the log up to an index, and reports
// whether that is news.
func (p *progress) matched(index uint64) bool {
	news := index > p.match
	if news {
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
	return news
}

// rejected notes that the member lacks the entry at an index, and reports
// whether the leader should probe again. A late rejection changes nothing.
func (p *progress) rejected(index, hint uint64) bool {
	if p.state == snapshotting || index <= p.match || index >= p.next {
		return false
	}
	p.next = max(p.match+1, min(index, hint+1))
	p.state = probing
	p.sent = 0
	return true
}
