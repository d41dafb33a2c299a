package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/claim"
	"celeryport/consensus"
	"celeryport/control/state"
)

// closeFolder closes what openFolder has opened, so that the folder can be opened again.
func (c *core) closeFolder() error {
	var err error
	if voter := c.node.claimVoter; voter != nil {
		c.node.claimVoter = nil
		err = voter.records.Close()
	}
	if c.group != nil {
		err = errors.CombineErrors(err, c.group.log.Close())
		c.group = nil
	}
	return err
}

// openFolder loads the stored state of this instance and, on a voter, opens the log. If it
// fails, what it has opened stays open until closeFolder.
func (c *core) openFolder() error {
	folder := c.installed.folder
	if folder.path == "" {
		if c.node.opts.Process.Voter {
			return errors.New("a voter needs a data folder")
		}
		return nil
	}
	if err := folder.fs.MakeFolder(folder.path); err != nil {
		return errors.Wrap(err, "create the data folder")
	}
	if err := c.installed.load(); err != nil || !c.node.opts.Process.Voter {
		return err
	}
	return c.openGroup(folder)
}

// openGroup opens the log of a voter, and starts consensus at once if the data folder has
// taken part before.
func (c *core) openGroup(folder dataFolder) error {
	log, stored, err := folder.openLog(c.node.opts.Process.Name, c.log)
	if err != nil {
		return err
	}
	c.group = &group{
		core:    c,
		id:      log.Identity().Voter,
		log:     log,
		stored:  stored,
		machine: state.New(),
		peers:   map[consensus.ID]*peer{},
		senders: map[consensus.ID]string{},
	}
	if c.node.claimVoter, err = openClaims(c.node, folder, c.group.id, c.keyLifetime()); err != nil {
		return err
	}
	founding, err := loadFounding(folder)
	if err != nil {
		return err
	}
	c.group.founding = founding
	if founding != nil {
		return c.group.start(*founding)
	}
	if hasLog(&stored) {
		return c.group.start(consensus.Configuration{})
	}
	if c.group.acceptor, err = loadAcceptor(folder); err != nil {
		return err
	}
	if err := c.group.awaitFounders(folder); err != nil || len(c.group.founders) > 0 {
		return err
	}
	return c.group.start(consensus.Configuration{})
}

func hasLog(s *consensus.Storage) bool {
	return s.HardState.Term > 0 || s.Snapshot.Index > 0 || len(s.Entries) > 0
}

// namedAsVoter reports whether the process settings name this instance among the voters
// that found the group.
func (n *Node) namedAsVoter() bool {
	if !n.opts.Process.MayFoundGroup {
		return false
	}
	for _, voter := range n.opts.Process.Voters {
		if voter.Address == n.opts.controlAddress() {
			return true
		}
	}
	return false
}

// keyLifetime is how long voters keep claims.
func (c *core) keyLifetime() time.Duration {
	if c.installed.tree == nil || c.installed.tree.Fleet.KeyLifetime == 0 {
		return claim.DefaultLifetime
	}
	return c.installed.tree.Fleet.KeyLifetime
}
