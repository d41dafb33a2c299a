package control

import (
	"celeryport/consensus"
)

// store writes a batch to the log and syncs it.
func (g *group) store(batch *consensus.Batch) error {
	if batch.HardState != nil || len(batch.Entries) > 0 {
		if err := g.log.Append(batch.HardState, batch.Entries); err != nil {
			return err
		}
	}
	if batch.Snapshot == nil {
		return nil
	}
	return g.log.SaveSnapshot(*batch.Snapshot)
}
