package control

import (
	"testing"

	"celeryport/clock"
)

// Guards against an incarnation that is in use although it could not be stored: after a restart the
// same one could be chosen again.
func TestIncarnationIsUsedOnceItIsStored(t *testing.T) {
	disk := &fullDisk{}
	c := &core{node: &Node{clock: clock.Real{}}, installed: installed{folder: dataFolder{t.TempDir(), disk}}}
	if err := c.renewIncarnation(0); err != nil {
		t.Fatal(err)
	}
	stored := c.self.Incarnation
	disk.full.Store(true)
	if err := c.renewIncarnation(stored + 7); err == nil || c.self.Incarnation != stored {
		t.Errorf("%v, incarnation %d, stored %d", err, c.self.Incarnation, stored)
	}
	disk.full.Store(false)
	if err := c.renewIncarnation(stored + 7); err != nil || c.self.Incarnation <= stored+7 {
		t.Errorf("%v, incarnation %d", err, c.self.Incarnation)
	}
}
