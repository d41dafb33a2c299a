package control

import (
	"time"

	"celeryport/consensus"
	"celeryport/control/state"
	"celeryport/event"
)

// reopenInterval is the pause between two attempts to reopen a data folder. A disk that
// was full for some seconds must not cost the group a voter permanently: the next loss
// would then take the majority.
const reopenInterval = 500 * time.Millisecond

// reopenIfDue reopens a failed data folder when the pause is over.
func (g *group) reopenIfDue(now time.Time) (time.Time, error) {
	if g.failed == nil {
		return now.Add(idleWait), nil
	}
	if now.Before(g.retryAt) {
		return g.retryAt, nil
	}
	g.retryAt = now.Add(reopenInterval)
	if err := g.reopen(); err != nil {
		if reason := err.Error(); reason != g.reopenReason {
			eventStorageFailed.Log(g.core.log, event.Fields{"error": reason, "folder": g.core.installed.folder.path})
			g.reopenReason = reason
		}
		return g.retryAt, nil //nolint:nilerr // tried again
	}
	g.reopenReason = ""
	eventStorageRecovered.Log(g.core.log, event.Fields{"folder": g.core.installed.folder.path})
	return now, nil
}

// reopen reads the folder as after a restart of the process and rewrites all of it to new
// files. What was read may never have reached the disk, so this voter must not vote by it
// before the new files have been synced.
func (g *group) reopen() error {
	g.closeLog()
	log, stored, err := g.core.installed.folder.openLog(g.core.node.opts.Process.Name, g.core.log)
	if err != nil {
		return err
	}
	g.log = log
	if err := log.Renew(); err != nil {
		return err
	}
	g.stored = stored
	g.machine = state.New()
	var initial consensus.Configuration
	if g.founding != nil {
		initial = *g.founding
	}
	failure := g.failed
	g.failed = nil
	if err := g.start(initial); err != nil {
		g.node, g.failed = nil, failure // not a voter that awaits the founding of its group
		return err
	}
	return nil
}
