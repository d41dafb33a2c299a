package claim

import (
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/consensus"
)

// VoterConfig sets up a Voter.
type VoterConfig struct {
	ID             consensus.ID
	Lifetime       time.Duration // of a key
	MaxAhead       time.Duration // a key that is made further in the future is refused
	MaxVotes       int           // a full voter abstains; it never forgets early
	MaxAnswerBytes int           // beyond, outcomes are stored without their answer
}

// The defaults keep a voter's memory under about 64 MB, at some 290 bytes a vote.
const (
	DefaultLifetime       = 24 * time.Hour
	DefaultMaxAhead       = 5 * time.Minute
	DefaultMaxVotes       = 150_000
	DefaultMaxAnswerBytes = 16 << 20
)

// DefaultVoterConfig returns the defaults for a voter.
func DefaultVoterConfig(id consensus.ID) VoterConfig {
	return VoterConfig{
		ID: id, Lifetime: DefaultLifetime, MaxAhead: DefaultMaxAhead,
		MaxVotes: DefaultMaxVotes, MaxAnswerBytes: DefaultMaxAnswerBytes,
	}
}

// Voter keeps write-once votes. It is a pure state machine and not safe for
// concurrent use. Its now is wall time, because lifetimes outlast a restart.
//
// Invariant: of one key, at most one holder ever has the votes of a majority of
// an epoch, unless the one before proved that it did not run. Within an epoch,
// two majorities share a voter, and a voter gives its vote away only after a
// release. Across epochs, a voter votes only when it knows every claim that
// earlier epochs may have decided, see copier.
type Voter struct {
	cfg     VoterConfig
	table   table
	state   EpochState
	expired time.Time // when the table was last searched for expired votes
	copier  copier

	records  []Record
	messages []Message
}

// Batch is what the driver must do: sync the records in one go, then send the
// messages. If the sync fails it must stop the voter.
type Batch struct {
	Records  []Record
	Messages []Message
}

// NewVoter returns a voter that goes on from its synced records. A voter without
// records knows no epoch and abstains.
func NewVoter(cfg VoterConfig, records []Record) (*Voter, error) {
	if cfg.ID == "" || cfg.Lifetime <= 0 || cfg.MaxVotes <= 0 {
		return nil, errors.Newf("voter needs an ID, a lifetime and a size: %+v", cfg)
	}
	v := &Voter{cfg: cfg}
	for _, r := range records {
		v.replay(r)
	}
	v.copier.begin(v)
	return v, nil
}

func (v *Voter) replay(r Record) {
	if r.Epoch != nil {
		v.state = *r.Epoch
		return
	}
	v.table.put(*r.Vote)
}

// Step takes in a message.
func (v *Voter) Step(now time.Time, m Message) {
	now = now.Round(0)
	if m.To != v.cfg.ID {
		return
	}
	switch m.Kind {
	case VoteRequest:
		v.vote(now, m)
	case SettleRequest:
		v.settle(now, m)
	case CopyRequest:
		v.sendCopy(m)
	case CopyResponse:
		v.copier.receive(v, now, m)
	}
}

// expiryInterval is how often the table is searched for expired votes.
const expiryInterval = time.Minute

// Tick lets time pass: it drops expired votes and asks again for votes that the
// voter still has to copy. Call it about every second.
func (v *Voter) Tick(now time.Time) {
	now = now.Round(0)
	if now.Sub(v.expired) >= expiryInterval {
		v.expired = now
		v.table.expire(now, v.cfg.Lifetime)
		v.forget(now.Add(-v.cfg.Lifetime))
	}
	v.copier.ask(v)
	v.finishReset(now)
}

// SetLifetime changes the lifetime of keys. When it is raised, keys whose votes
// were dropped under the shorter one stay refused. Lowering it makes opaque keys
// new that were promised to be remembered for longer.
func (v *Voter) SetLifetime(lifetime time.Duration) {
	if lifetime > 0 {
		v.cfg.Lifetime = lifetime
	}
}

// forget notes that votes of keys made before a time may be gone.
func (v *Voter) forget(before time.Time) {
	if before.After(v.state.Forgotten) {
		v.state.Forgotten = before
	}
}

// HasReady reports whether Ready would return something.
func (v *Voter) HasReady() bool { return len(v.records) > 0 || len(v.messages) > 0 }

// Ready hands out the work since the last call.
func (v *Voter) Ready() Batch {
	b := Batch{v.records, v.messages}
	v.records, v.messages = nil, nil
	return b
}

// Records returns the whole state, to replace the log of records when that has
// grown. Call it right after a batch was synced.
func (v *Voter) Records() []Record {
	state := v.state
	records := []Record{{Epoch: &state}}
	for b := range v.table.parts {
		for _, vote := range v.table.bucket(b) {
			records = append(records, Record{Vote: &vote})
		}
	}
	return records
}

// VoterStatus is the state of a voter for operators and metrics.
type VoterStatus struct {
	Epoch       uint64
	Complete    bool // it votes; otherwise it still copies, or does not belong to the epoch
	Votes       int
	AnswerBytes int
	Full        bool // it abstains from new keys
}

// Status returns the present state.
func (v *Voter) Status() VoterStatus {
	return VoterStatus{
		Epoch: v.epoch().Number, Complete: v.mayVote(),
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
