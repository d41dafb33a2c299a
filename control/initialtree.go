package control

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/control/state"
)

// initialOrderID is the order ID of the initial settings tree.
const initialOrderID = "initial"

// readInitialTree reads the tree that the process settings name for a group that has never
// accepted one. A faulty tree prevents the start; no part of it is applied.
func (o *Options) readInitialTree() ([]byte, error) {
	path := o.Process.Tree
	if path == "" || !o.Process.Voter {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the initial settings tree")
	}
	if _, err := o.Parse(path, text); err != nil {
		return nil, err
	}
	return text, nil
}

// applyInitialTree proposes the initial tree once, if no tree has ever been accepted. Its
// base is 0, so it loses against any operator's order that was accepted before it.
func (l *leader) applyInitialTree(now time.Time) {
	if l.initialProposed || l.core.node.initialTree == nil || l.core.group.machine.Current().Number > 0 {
		return
	}
	l.initialProposed = true
	command := state.Command{
		At:       now.Round(0).UTC(),
		Lifetime: l.core.orderLifetime(),
		Apply:    &state.Apply{OrderID: initialOrderID, Text: l.core.node.initialTree},
	}
	l.core.group.propose(now, &command, make(chan proposalResult, 1))
}
