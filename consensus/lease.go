package consensus

import (
	"slices"
	"time"
)

// lease gives the leader the exclusive right to act: while it is valid, no other
// node can be elected.
//
// Invariant: at no point in real time do two nodes hold a valid lease, provided
// that their clock rates differ by less than the margin between Lease and
// ElectionMin. The invariant follows from these rules:
//
//   - The lease starts when the leader sends a round that a majority confirms.
//   - Each of these voters rejects all elections for ElectionMin after it
//     receives the round, which is later. This also holds after a restart.
//   - The leader itself rejects elections until its published lease ends.
//   - A leadership transfer waits until the lease has expired.
//
// A process that was suspended resumes with the lease that it held before. The
// lease is therefore never a flag: every use compares it with a clock read after
// the process resumed. An action that must not happen if the process is
// suspended between the check and the action also needs a fencing number that
// the receiver checks.
type lease struct {
	until    time.Time
	released bool // the leader gave up the lease for the rest of the term
}

// HasLease reports whether this node may act as the only leader at now. It is
// true only once an entry of the leader's term is committed, so that the node
// also has everything accepted before.
func (n *Node) HasLease(now time.Time) bool {
	return now.Before(n.leaseUntil())
}

// leaseUntil returns the end of the lease, or zero if this node is not the
// leader.
func (n *Node) leaseUntil() time.Time {
	if n.role != Leader || n.log.commit < n.leadership.termStart {
		return time.Time{}
	}
	return n.leadership.lease.until
}

// rounds numbers the leader's heartbeat rounds and records the send times of
// those sent within the last ElectionMin.
type rounds struct {
	sent        []sentRound // in ascending order
	number      uint64
	confirmed   uint64    // newest round confirmed by a majority
	confirmedAt time.Time // send time of the confirmed round
}

type sentRound struct {
	number uint64
	at     time.Time
}

func (r *rounds) last() uint64 { return r.number }

// lastAt returns the send time of the newest round.
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

// sentAt returns the send time of a round, and false if it is no longer recorded
// or the round was never sent.
func (r *rounds) sentAt(number uint64) (time.Time, bool) {
	if len(r.sent) == 0 || number < r.sent[0].number || number > r.number {
		return time.Time{}, false
	}
	return r.sent[number-r.sent[0].number].at, true
}

// confirm records that a majority confirmed a round. It reports whether the
// round is newer than the last confirmed one.
func (r *rounds) confirm(number uint64) bool {
	at, ok := r.sentAt(number)
	if !ok || number <= r.confirmed {
		return false
	}
	r.confirmed, r.confirmedAt = number, at
	return true
}

// confirmRounds renews the lease and answers pending reads when a majority has
// confirmed a newer round.
func (n *Node) confirmRounds(now time.Time) {
	if !n.leadership.rounds.confirm(n.majorityRound()) {
		return
	}
	n.leadership.stall = stall{}
	if !n.leadership.lease.released {
		n.leadership.lease.until = n.leadership.rounds.confirmedAt.Add(n.timing.Lease)
	}
	n.answerReads(now)
}

// majorityRound returns the newest round that a majority of the voters has
// confirmed. The leader counts as having confirmed its own latest round.
func (n *Node) majorityRound() uint64 {
	confirmed := make([]uint64, 0, len(n.leadership.peers)+1)
	if n.configs.current().Voter(n.id) {
		confirmed = append(confirmed, n.leadership.rounds.last())
	}
	for i := range n.leadership.peers {
		if n.leadership.peers[i].voter {
			confirmed = append(confirmed, n.leadership.peers[i].round)
		}
	}
	return majorityOf(confirmed)
}

// majorityOf returns the highest value that a majority of the values reaches or
// exceeds.
func majorityOf(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
