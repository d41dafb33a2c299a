package control

import (
	"context"

	"celeryport/wal"
)

// openCore reads the data folder and publishes the first view.
func (n *Node) openCore() error {
	core, err := newCore(n)
	if err != nil {
		return err
	}
	n.core = core
	core.publish(n.clock.Now())
	return nil
}

// isOpen reports whether the data folder has been read.
func (n *Node) isOpen() bool {
	if n.awaited == nil {
		return true
	}
	select {
	case <-n.awaited:
		return true
	default:
		return false
	}
}

// awaitCore waits until the data folder has been read, if New could not. An instance must not
// take part without the state that it stored: it could vote twice, or revert its settings.
// Nothing is served at the control address meanwhile, so the others see that it is absent.
func (n *Node) awaitCore(ctx context.Context) error {
	if n.isOpen() {
		return nil
	}
	err := wal.Await(ctx, n.opts.Process.DataFolder, n.log, n.openCore)
	if err != nil {
		close(n.stopped)
		return err
	}
	close(n.awaited)
	return nil
}
