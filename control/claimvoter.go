package control

import (
	"context"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/claim"
	"celeryport/consensus"
)

const (
	claimsFolder      = "claims"
	claimQueue        = 1024
	claimTick         = time.Second
	compactClaimBytes = 16 << 20 // size of the vote log in bytes from which it is rewritten
)

// claimVoter stores the votes of this instance. A single goroutine owns it. Requests that
// arrive during a sync share the next one, which divides the cost of a sync between them.
type claimVoter struct {
	node   *Node
	folder dataFolder
	id     consensus.ID
	storedVotes
	requests chan claimRequest
	epochs   chan claim.Epoch
	epoch    claim.Epoch // last one entered
	votes    atomic.Bool // whether it votes, as last logged
	full     bool        // whether it is full, as last logged
}

// claimRequest is a message and the channel for its answers.
type claimRequest struct {
	message claim.Message
	reply   chan<- claimReply
}

type claimReply struct {
	messages []claim.Message
	err      error
}

// openClaims opens the stored votes of a voter. The lifetime of keys is taken from the
// settings at the start of the process; updateLifetime applies later changes.
func openClaims(n *Node, folder dataFolder, id consensus.ID, lifetime time.Duration) (*claimVoter, error) {
	v := &claimVoter{
		node: n, folder: dataFolder{filepath.Join(folder.path, claimsFolder), folder.fs}, id: id,
		requests: make(chan claimRequest, claimQueue), epochs: make(chan claim.Epoch, claimQueue),
	}
	stored, err := v.load(lifetime)
	if err != nil {
		return nil, err
	}
	v.storedVotes = *stored
	return v, nil
}

// run processes requests until ctx is done. After a failed write it rejects them until the votes
// have been read and rewritten.
func (v *claimVoter) run(ctx context.Context) error {
	ticker := time.NewTicker(claimTick)
	defer ticker.Stop()
	for {
		var batch []claimRequest
		select {
		case <-ctx.Done():
			return errors.CombineErrors(ctx.Err(), v.records.Close())
		case first := <-v.requests:
			batch = v.gather(first)
		case e := <-v.epochs:
			v.enterNow(e)
		case <-ticker.C:
			v.updateLifetime()
			v.voter.Tick(v.node.clock.Now())
		}
		if err := v.process(ctx, batch); err != nil {
			if err := v.recover(ctx, err); err != nil {
				return err
			}
		}
	}
}

func (v *claimVoter) gather(first claimRequest) []claimRequest {
	batch := []claimRequest{first}
	for range len(v.requests) {
		batch = append(batch, <-v.requests)
	}
	return batch
}

// process handles a batch, syncs all resulting records in one write and only then answers:
// a vote that was answered but lost in a crash could be given again to another holder.
func (v *claimVoter) process(ctx context.Context, batch []claimRequest) error {
	now := v.node.clock.Now()
	own := v.voter.Ready()
	records := own.Records
	answers := make([]claimReply, len(batch))
	for i := range batch {
		v.voter.Step(now, batch[i].message)
		ready := v.voter.Ready()
		records = append(records, ready.Records...)
		answers[i].messages, own.Messages = v.splitMessages(&batch[i], ready.Messages, own.Messages)
	}
	if err := v.sync(records); err != nil {
		for i := range batch {
			batch[i].reply <- claimReply{err: errVoterFailed}
		}
		return err
	}
	for i := range batch {
		batch[i].reply <- answers[i]
	}
	for i := range own.Messages {
		go v.send(ctx, own.Messages[i])
	}
	v.logState()
	return nil
}

// splitMessages separates the answers to a request from messages to other voters.
func (v *claimVoter) splitMessages(r *claimRequest, messages, others []claim.Message) (answers, rest []claim.Message) {
	for _, m := range messages {
		if m.To == r.message.From && m.Kind == r.message.Kind+1 {
			answers = append(answers, m)
			continue
		}
		others = append(others, m)
	}
	return answers, others
}

func (v *claimVoter) sync(records []claim.Record) error {
	if len(records) == 0 {
		return nil
	}
	encoded, err := encodeRecords(records)
	if err != nil {
		return err
	}
	if err := v.records.Append(encoded...); err != nil {
		return err
	}
	if v.records.Size() < v.rewrite {
		return nil
	}
	whole, err := encodeRecords(v.voter.Records())
	if err != nil {
		return err
	}
	if err := v.records.Rewrite(whole); err != nil {
		return err
	}
	v.rewrite = compactClaimBytes + 2*v.records.Size()
	return nil
}

func encodeRecords(records []claim.Record) ([][]byte, error) {
	encoded := make([][]byte, 0, len(records))
	for _, r := range records {
		data, err := claim.EncodeRecord(r)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}

// send sends a message to another voter and enqueues the answers.
func (v *claimVoter) send(ctx context.Context, m claim.Message) {
	answers, err := v.node.sendClaim(ctx, m)
	if err != nil {
		return // asked again with the next tick
	}
	for _, answer := range answers {
		select {
		case v.requests <- claimRequest{message: answer, reply: make(chan claimReply, 1)}:
		case <-ctx.Done():
			return
		}
	}
}

// ask passes a message to the voter and waits for its answers.
func (v *claimVoter) ask(ctx context.Context, m claim.Message) ([]claim.Message, error) {
	reply := make(chan claimReply, 1)
	select {
	case v.requests <- claimRequest{message: m, reply: reply}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case r := <-reply:
		return r.messages, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// enter passes an epoch to the voter. An epoch dropped because the queue is full is passed
// again after the next restart or change; until then the voter abstains.
func (v *claimVoter) enter(e claim.Epoch) {
	select {
	case v.epochs <- e:
	default:
	}
}
