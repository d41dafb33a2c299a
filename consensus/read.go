package consensus

import "time"

type pendingRead struct {
	context uint64
	round   uint64 // answered when a majority has confirmed it
}

// ReadIndex asks for the index from which on a read includes everything that
// was accepted before the call. The answer comes as a ReadState with the same
// context once a majority has confirmed a heartbeat sent after the call: a
// deposed leader that does not know it yet never answers. Reads that are
// pending when the leader loses its place get no answer.
func (n *Node) ReadIndex(now time.Time, context uint64) error {
	n.start(now)
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.log.commit < n.lead.termStart {
		return refuse(RefusedTermStart)
	}
	r := &n.lead.rounds
	n.lead.reads = append(n.lead.reads, pendingRead{context, r.last() + 1})
	if r.confirmed == r.last() {
		n.heartbeat(now)
	}
	return nil
}

// answerReads answers the reads of confirmed rounds. Reads that came while a
// round was on its way share the next one.
func (n *Node) answerReads(now time.Time) {
	r := &n.lead.rounds
	for len(n.lead.reads) > 0 && n.lead.reads[0].round <= r.confirmed {
		n.reads = append(n.reads, ReadState{Context: n.lead.reads[0].context, Index: n.log.commit})
		n.lead.reads = n.lead.reads[1:]
	}
	if len(n.lead.reads) > 0 && n.lead.reads[0].round > r.last() && r.confirmed == r.last() {
		n.heartbeat(now)
	}
}
