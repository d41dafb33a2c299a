package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/claim"
	"celeryport/event"
	"celeryport/verdict"
	"celeryport/wal"
)

// storedVotes are the votes of a voter and the records that they are stored in.
type storedVotes struct {
	voter   *claim.Voter
	records *wal.Records
	rewrite int64 // size from which the log is rewritten
}

// load reads the votes from the folder and rewrites them.
func (v *claimVoter) load(lifetime time.Duration) (*storedVotes, error) {
	records, raw, err := wal.OpenRecords(v.folder.path, v.folder.fs, wal.Options{Logger: v.node.log})
	if err != nil {
		return nil, errors.Wrap(err, "open the votes")
	}
	decoded := make([]claim.Record, 0, len(raw))
	for _, data := range raw {
		record, err := claim.DecodeRecord(data)
		if err != nil {
			return nil, errors.CombineErrors(err, records.Close())
		}
		decoded = append(decoded, record)
	}
	config := claim.DefaultVoterConfig(v.id)
	config.Lifetime = lifetime
	voter, err := claim.NewVoter(config, decoded)
	if err != nil {
		return nil, errors.CombineErrors(err, records.Close())
	}
	return &storedVotes{voter: voter, records: records, rewrite: compactClaimBytes}, nil
}

var errVoterFailed = verdict.Refuse(verdict.ReasonStorageFailed, 0, "this voter can't keep votes at present")

// recover rejects all requests after a failed write until the folder could be opened again, which
// rewrites all votes: a vote that could not be synced must not be given, and none that was given
// may be lost. If the folder can't be used any more, the voter rejects requests until ctx is done.
func (v *claimVoter) recover(ctx context.Context, cause error) error {
	eventStorageFailed.Log(v.node.log, event.Fields{"error": cause, "folder": v.folder.path})
	if err := v.records.Close(); err != nil {
		eventStorageFailed.Log(v.node.log, event.Fields{"error": err, "folder": v.folder.path})
	}
	opened := make(chan *storedVotes, 1) // nil: none
	go func() {
		var stored *storedVotes
		err := wal.Await(ctx, v.folder.path, v.node.log, func() (err error) {
			stored, err = v.load(v.lifetime())
			return err
		})
		if err != nil {
			stored = nil // logged by Await, or ctx is done
		}
		opened <- stored
	}()
	for {
		select {
		case stored := <-opened:
			if stored != nil {
				v.storedVotes = *stored
				v.enterNow(v.epoch)
				eventStorageRecovered.Log(v.node.log, event.Fields{"folder": v.folder.path})
				return nil
			}
			opened = nil
		case <-ctx.Done():
			return errors.CombineErrors(ctx.Err(), closeAwaited(opened))
		case r := <-v.requests:
			r.reply <- claimReply{err: errVoterFailed}
		case e := <-v.epochs:
			v.epoch = e
		}
	}
}

// closeAwaited closes what an attempt that is still running may open. A nil channel stands for
// none.
func closeAwaited(opened <-chan *storedVotes) error {
	if opened == nil {
		return nil
	}
	if stored := <-opened; stored != nil {
		return stored.records.Close()
	}
	return nil
}

// enterNow passes an epoch to the voter, and keeps it for the votes that are opened after a
// failure.
func (v *claimVoter) enterNow(e claim.Epoch) {
	v.epoch = e
	v.voter.Enter(v.node.clock.Now(), e)
}

// lifetime is how long the settings in force keep claims.
func (v *claimVoter) lifetime() time.Duration {
	if tree := v.node.View().Tree; tree != nil && tree.Fleet.KeyLifetime > 0 {
		return tree.Fleet.KeyLifetime
	}
	return claim.DefaultLifetime
}
