package consensus

import (
	"slices"
	"time"
)

// lease is the leader's right to act alone: while it holds, no other node can be
// elected.
//
// Invariant: at no instant of true time do two nodes hold a valid lease, as long
// as their clocks run at rates that differ by less than the margin between
// Lease and ElectionMin. It rests on these rules: the lease runs from the send
// of a round that a majority confirmed; each of these voters refuses all
// elections for ElectionMin from its later receipt, also after a restart; the
// leader itself refuses until the end of the lease that it handed out; and a
// handover waits until the lease has lapsed.
//
// A process that was frozen wakes with the lease of before. So the lease is
// never a flag: every use compares it with a clock read after the wake-up, and
// what must not happen after a freeze between the check and the act needs a
// fencing number at the receiver besides.
type lease struct {
	until time.Time
	given bool // given up for the rest of the term
}

// HasLease reports whether this node may act as the only leader at now. It is
// only true once an entry of its term is committed, so that it also has all
// that was accepted before.
func (n *Node) HasLease(now time.Time) bool {
	return now.Before(n.leaseUntil())
}

// leaseUntil returns the end of the lease; zero when this node does not lead.
func (n *Node) leaseUntil() time.Time {
	if n.role != Leader || n.log.commit < n.lead.termStart {
		return time.Time{}
	}
	return n.lead.lease.until
}

// rounds numbers the heartbeat rounds of a leader and remembers when those of
// the last ElectionMin were sent.
type rounds struct {
	sent        []sentRound // ascending
	number      uint64
	confirmed   uint64    // by a majority
	confirmedAt time.Time // when that round was sent
}

type sentRound struct {
	number uint64
	at     time.Time
}

func (r *rounds) last() uint64 { return r.number }

// lastAt returns when the newest round was sent.
func (r *rounds) lastAt() time.Time {
	if len(r.sent) == 0 {
		return r.confirmedAt
	}
	return r.sent[len(r.sent)-1].at
}

func (r *rounds) start(now time.Time, keep time.Duration) {
	r.number++
	r.sent = append(r.sent, sentRound{r.number, now})
	for now.Sub(r.sent[0].at) > keep {
		r.sent = r.sent[1:]
	}
}

// sentAt returns when a round was sent, unless that is too long ago to matter.
func (r *rounds) sentAt(number uint64) (time.Time, bool) {
	if len(r.sent) == 0 || number < r.sent[0].number || number > r.number {
		return time.Time{}, false
	}
	return r.sent[number-r.sent[0].number].at, true
}

// confirm notes that a majority confirmed a round, and reports whether that is
// news.
func (r *rounds) confirm(number uint64) bool {
	at, ok := r.sentAt(number)
	if !ok || number <= r.confirmed {
		return false
	}
	r.confirmed, r.confirmedAt = number, at
	return true
}

// confirmRounds renews the lease and answers reads when a majority has confirmed
// a newer round.
func (n *Node) confirmRounds(now time.Time) {
	if !n.lead.rounds.confirm(n.majorityRound()) {
		return
	}
	if !n.lead.lease.given {
		n.lead.lease.until = n.lead.rounds.confirmedAt.Add(n.timing.Lease)
	}
	n.answerReads(now)
}

// majorityRound returns the newest round that a majority of the voters
// confirmed; the leader confirms its own.
func (n *Node) majorityRound() uint64 {
	confirmed := make([]uint64, 0, len(n.lead.peers)+1)
	if n.configs.current().Voter(n.id) {
		confirmed = append(confirmed, n.lead.rounds.last())
	}
	for i := range n.lead.peers {
		if n.lead.peers[i].voter {
			confirmed = append(confirmed, n.lead.peers[i].round)
		}
	}
	return majorityOf(confirmed)
}

// majorityOf returns the highest value that a majority of the values reaches.
func majorityOf(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
