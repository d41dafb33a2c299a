// Package consensus replicates a log among the voters of the control group,
// using the Raft algorithm. Node is a deterministic state machine without I/O,
// goroutines or a clock of its own. Its inputs are messages, proposals and
// ticks; its outputs are batches of records to sync, messages to send and
// entries to apply.
package consensus

import "time"

// ID permanently identifies one voter. A voter that lost its disk rejoins under
// a new ID.
type ID string

// Entry is one record of the log.
type Entry struct {
	Index uint64    `json:"index"`
	Term  uint64    `json:"term"`
	Kind  EntryKind `json:"kind"`
	Data  []byte    `json:"data,omitempty"`
}

// EntryKind distinguishes entries of the protocol from proposals.
type EntryKind uint8

const (
	// Proposal entries contain data for the replicated state machine.
	Proposal EntryKind = iota
	// Empty entries are appended first in each leader's term.
	Empty
	// Reconfiguration entries contain an encoded Configuration.
	Reconfiguration
)

// Configuration is the set of members. It takes effect at the index of its log
// entry.
type Configuration struct {
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners,omitempty"`
}

// Member is a voter or learner and its control address.
type Member struct {
	ID      ID     `json:"id"`
	Address string `json:"address"`
}

// HardState must be synced before any message that depends on it is sent.
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

// MessageKind is the type of a Message.
type MessageKind uint8

// Message kinds exchanged between members.
const (
	PreVoteRequest MessageKind = iota
	PreVoteResponse
	VoteRequest
	VoteResponse
	AppendRequest // also serves as the heartbeat
	AppendResponse
	SnapshotRequest
	SnapshotResponse
	TimeoutNow // the leader asks the target of a transfer to campaign at once
)

// Message is sent from one member to another. The protocol tolerates lost,
// duplicated, delayed and reordered messages.
type Message struct {
	Kind     MessageKind `json:"kind"`
	From     ID          `json:"from"`
	To       ID          `json:"to"`
	Term     uint64      `json:"term"`
	Index    uint64      `json:"index"`    // index before Entries; last log index in vote requests; match index in responses
	LogTerm  uint64      `json:"log_term"` // term at Index
	Entries  []Entry     `json:"entries,omitempty"`
	Commit   uint64      `json:"commit"`
	Reject   bool        `json:"reject,omitempty"`
	Force    bool        `json:"force,omitempty"` // vote requested by the leader, which has released its lease
	Hint     uint64      `json:"hint,omitempty"`  // index at which to continue after a rejected append
	Round    uint64      `json:"round,omitempty"` // heartbeat round, echoed in responses; used for leases and reads
	Snapshot *Snapshot   `json:"snapshot,omitempty"`
}

// Batch is the work returned by Ready. The driver first syncs HardState and
// Entries in one write that a crash leaves whole or not done, then Snapshot. It then sends Messages,
// applies Committed and calls Advance. If the sync fails the driver must stop
// the node: messages that depend on unsynced state must not be sent.
type Batch struct {
	HardState  *HardState // nil if unchanged
	Entries    []Entry    // to append; an entry at an existing index replaces that entry and all after it
	Snapshot   *Snapshot  // received from the leader; install before applying Committed
	Messages   []Message
	Committed  []Entry
	ReadStates []ReadState
	SoftState  SoftState
}

// Empty reports whether the batch contains no work.
func (b *Batch) Empty() bool {
	return b.HardState == nil && len(b.Entries) == 0 && b.Snapshot == nil &&
		len(b.Messages) == 0 && len(b.Committed) == 0 && len(b.ReadStates) == 0
}

// ReadState is the result of a ReadIndex call. Once the entries up to Index are
// applied, a read reflects everything that was accepted before the call.
type ReadState struct {
	Context uint64
	Index   uint64
}

// SoftState is volatile state that does not need to be stored.
type SoftState struct {
	Leader ID
	Role   Role
	Term   uint64
}

// Role is the current role of a node.
type Role uint8

// The roles that a node can have.
const (
	Follower Role = iota
	Candidate
	Leader
	Learner
)

// Timing holds the intervals of the protocol.
type Timing struct {
	Heartbeat   time.Duration // interval between the leader's heartbeats
	ElectionMin time.Duration // minimum election timeout; a random duration of up to the same length is added
	Lease       time.Duration // duration of the leader's lease, from the send of a round that a majority confirmed; less than ElectionMin
}

// Storage is the state that the driver has synced, as read at start. Node keeps
// unsynced entries in memory.
type Storage struct {
	HardState HardState
	Snapshot  Snapshot // zero if there is none
	Entries   []Entry  // contiguous entries after the snapshot
}
