// Package consensus keeps a replicated log among the voters of the control
// group. Node is a pure state machine: messages, proposals and ticks go in, and
// batches of records to sync, messages to send and entries to apply come out.
// It has no I/O, no goroutines and no clock of its own.
package consensus

import "time"

// ID names one voter for ever: a voter whose disk is lost comes back under a
// new one.
type ID string

// Entry is one record of the log.
type Entry struct {
	Index uint64    `json:"index"`
	Term  uint64    `json:"term"`
	Kind  EntryKind `json:"kind"`
	Data  []byte    `json:"data,omitempty"`
}

// EntryKind tells the system's own entries from proposals.
type EntryKind uint8

const (
	// Proposal entries carry data of the state machine above.
	Proposal EntryKind = iota
	// Empty entries are the first of each leader's term.
	Empty
	// Reconfiguration entries carry an encoded Configuration.
	Reconfiguration
)

// Configuration is the set of members in force from its log index on.
type Configuration struct {
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners,omitempty"`
}

// Member is a voter or learner with the control address where it is reached.
type Member struct {
	ID      ID     `json:"id"`
	Address string `json:"address"`
}

// HardState is what must be synced before any message that depends on it.
type HardState struct {
	Term   uint64 `json:"term"`
	Vote   ID     `json:"vote,omitempty"`
	Commit uint64 `json:"commit"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index         uint64        `json:"index"`
	Term          uint64        `json:"term"`
	Configuration Configuration `json:"configuration"`
	Data          []byte        `json:"data"`
}

// MessageKind is the kind of a Message.
type MessageKind uint8

// The messages between voters.
const (
	PreVoteRequest MessageKind = iota
	PreVoteResponse
	VoteRequest
	VoteResponse
	AppendRequest // also the heartbeat
	AppendResponse
	SnapshotRequest
	SnapshotResponse
	TimeoutNow // the leader hands over before it leaves
)

// Message travels between two voters. Messages may be lost, doubled, late and
// reordered without harm.
type Message struct {
	Kind     MessageKind `json:"kind"`
	From     ID          `json:"from"`
	To       ID          `json:"to"`
	Term     uint64      `json:"term"`
	Index    uint64      `json:"index"`    // of the entry before Entries; last index in votes; match index in responses
	LogTerm  uint64      `json:"log_term"` // term at Index
	Entries  []Entry     `json:"entries,omitempty"`
	Commit   uint64      `json:"commit"`
	Reject   bool        `json:"reject,omitempty"`
	Force    bool        `json:"force,omitempty"` // vote asked for by the leader, which has given up its lease
	Hint     uint64      `json:"hint,omitempty"`  // where to continue after a rejected append
	Round    uint64      `json:"round,omitempty"` // heartbeat round, echoed, for leases and reads
	Snapshot *Snapshot   `json:"snapshot,omitempty"`
}

// Batch is the work that Ready hands out. The driver syncs HardState, Entries
// and Snapshot, in this order and in one go, then sends Messages, then applies
// Committed, then calls Advance. If the sync fails it must stop the node: an
// unsynced promise may not leave.
type Batch struct {
	HardState  *HardState // nil: unchanged
	Entries    []Entry    // to append; an entry at an existing index replaces it and all behind
	Snapshot   *Snapshot  // received from the leader: install before Committed
	Messages   []Message
	Committed  []Entry
	ReadStates []ReadState
	SoftState  SoftState
}

// Empty reports whether there is nothing to do.
func (b *Batch) Empty() bool {
	return b.HardState == nil && len(b.Entries) == 0 && b.Snapshot == nil &&
		len(b.Messages) == 0 && len(b.Committed) == 0 && len(b.ReadStates) == 0
}

// ReadState answers one ReadIndex: once entries up to Index are applied, a read
// is at least as new as the moment of the call.
type ReadState struct {
	Context uint64
	Index   uint64
}

// SoftState need not survive.
type SoftState struct {
	Leader ID
	Role   Role
	Term   uint64
}

// Role is the present role of a node.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	Candidate
	Leader
	Learner
)

// Timing holds the intervals of the protocol.
type Timing struct {
	Heartbeat   time.Duration // between the leader's heartbeats
	ElectionMin time.Duration // a follower waits at least so long, plus up to the same again, drawn from the injected source
	Lease       time.Duration // the leader's lease after the send of a round acknowledged by a majority; below ElectionMin
}

// Storage reads what the driver has synced. Node keeps the unsynced tail itself.
type Storage struct {
	HardState HardState
	Snapshot  Snapshot // zero: none
	Entries   []Entry  // after the snapshot, contiguous
}
