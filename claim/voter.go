package claim

import (
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/consensus"
)

// VoterConfig configures a Voter.
type VoterConfig struct {
	ID             consensus.ID
	Lifetime       time.Duration // lifetime of a key
	MaxAhead       time.Duration // keys with a timestamp further in the future are rejected
	MaxVotes       int           // a full voter abstains; it never drops votes early
	MaxAnswerBytes int           // above this total size, outcomes are stored without their answer
}

// The defaults keep a voter's memory use below about 64 MB, at about 290 bytes per
// vote.
const (
	DefaultLifetime       = 24 * time.Hour
	DefaultMaxAhead       = 5 * time.Minute
	DefaultMaxVotes       = 150_000
	DefaultMaxAnswerBytes = 16 << 20
)

// DefaultVoterConfig returns the default configuration of a voter.
func DefaultVoterConfig(id consensus.ID) VoterConfig {
	return VoterConfig{
		ID: id, Lifetime: DefaultLifetime, MaxAhead: DefaultMaxAhead,
		MaxVotes: DefaultMaxVotes, MaxAnswerBytes: DefaultMaxAnswerBytes,
	}
}

// Voter stores write-once votes. It is a deterministic state machine and not safe
// for concurrent use. Its now arguments are wall time, because lifetimes continue
// across restarts.
//
// Invariant: for each key, at most one holder ever has the votes of a majority of
// an epoch, unless the previous holder proved that the request did not run. Within
// an epoch, any two majorities have a voter in common, and a voter grants its vote
// to another holder only after a release. Across epochs, a voter votes only when
// it knows every claim that earlier epochs may have decided, see copier.
type Voter struct {
	cfg        VoterConfig
	table      table
	state      EpochState
	lastExpiry time.Time // time of the last search for expired votes
	copier     copier
	releases   releases

	records  []Record
	messages []Message
}

// Batch is the work for the driver: it syncs the records as one operation and then
// sends the messages. If the sync fails it must stop the voter.
type Batch struct {
	Records  []Record
	Messages []Message
}

// NewVoter returns a voter that resumes from its synced records. A voter without
// records has no epoch and abstains.
func NewVoter(cfg VoterConfig, records []Record) (*Voter, error) {
	if cfg.ID == "" || cfg.Lifetime <= 0 || cfg.MaxVotes <= 0 {
		return nil, errors.Newf("voter needs an ID, a lifetime and a size: %+v", cfg)
	}
	v := &Voter{cfg: cfg, releases: releases{}}
	for _, r := range records {
		v.replay(r)
	}
	v.copier.selectTarget(v)
	return v, nil
}

func (v *Voter) replay(r Record) {
	if r.Epoch != nil {
		v.state = *r.Epoch
		return
	}
	v.table.put(*r.Vote)
}

// Step processes a message.
func (v *Voter) Step(now time.Time, m Message) {
	now = now.Round(0)
	if m.To != v.cfg.ID {
		return
	}
	switch m.Kind {
	case VoteRequest:
		v.handleVoteRequest(now, m)
	case SettleRequest:
		v.handleSettleRequest(now, m)
	case CopyRequest:
		v.handleCopyRequest(m)
	case CopyResponse:
		v.copier.handleCopyResponse(v, now, m)
	}
}

// expiryInterval is the interval at which the table is searched for expired votes.
const expiryInterval = time.Minute

// Tick drops expired votes and repeats the requests for votes that still have to
// be copied. It should be called about once per second.
func (v *Voter) Tick(now time.Time) {
	now = now.Round(0)
	if now.Sub(v.lastExpiry) >= expiryInterval {
		v.lastExpiry = now
		v.table.expire(now, v.cfg.Lifetime)
		v.releases.expire(now)
		v.recordDropped(now.Add(-v.cfg.Lifetime))
	}
	v.copier.requestCopies(v)
	v.completeReset(now)
}

// SetLifetime changes the lifetime of keys. If it is raised, keys whose votes were
// dropped under the shorter lifetime are still rejected. If it is lowered, opaque
// keys are treated as new earlier than promised when they were claimed.
func (v *Voter) SetLifetime(lifetime time.Duration) {
	if lifetime > 0 {
		v.cfg.Lifetime = lifetime
	}
}

// recordDropped records that votes of keys created before a time may have been
// dropped.
func (v *Voter) recordDropped(before time.Time) {
	if before.After(v.state.DroppedBefore) {
		v.state.DroppedBefore = before
	}
}

// HasReady reports whether Ready would return any work.
func (v *Voter) HasReady() bool { return len(v.records) > 0 || len(v.messages) > 0 }

// Ready returns the work that has accumulated since the last call.
func (v *Voter) Ready() Batch {
	b := Batch{v.records, v.messages}
	v.records, v.messages = nil, nil
	return b
}

// Records returns the complete state, to replace a record log that has grown too
// large. It must be called right after a batch was synced.
func (v *Voter) Records() []Record {
	state := v.state
	records := []Record{{Epoch: &state}}
	for b := range v.table.buckets {
		for _, vote := range v.table.bucket(b) {
			records = append(records, Record{Vote: &vote})
		}
	}
	return records
}

// VoterStatus describes a voter for operators and metrics.
type VoterStatus struct {
	Epoch       uint64
	Complete    bool // the voter votes; otherwise it is still copying or is not a voter of the epoch
	Votes       int
	AnswerBytes int
	Full        bool // the voter abstains from new keys
}

// Status returns the current state.
func (v *Voter) Status() VoterStatus {
	return VoterStatus{
		Epoch: v.epoch().Number, Complete: v.canVote(),
		Votes: v.table.count, AnswerBytes: v.table.answerBytes, Full: v.table.count >= v.cfg.MaxVotes,
	}
}

func (v *Voter) store(vote Vote) {
	if len(vote.Outcome.Answer) > MaxAnswer || v.table.answerBytes+len(vote.Outcome.Answer) > v.cfg.MaxAnswerBytes {
		vote.Outcome.Answer = nil
	}
	v.table.put(vote)
	v.records = append(v.records, Record{Vote: &vote})
}

func (v *Voter) reply(m Message, kind MessageKind) Message {
	return Message{Kind: kind, From: v.cfg.ID, To: m.From, Epoch: v.epoch().Number, Key: m.Key, Holder: m.Holder}
}
