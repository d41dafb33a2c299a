package control

import (
	"net"
	"testing"

	"celeryport/settings"
)

// Guards against a voter that was removed while it was down and, restarted, never finds the group again, because the
// voters of its settings have gone and it asks none of those that its log names.
func TestRemovedVoterFindsTheGroupThroughItsLog(t *testing.T) {
	t.Parallel()
	f := newAttachingFleet(t, 3, 0)
	base := f.apply(0, "a", testTree(1)).Revision
	f.awaitInstalled(base)
	removed := f.members[0]
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	id, replacement := f.voterID(removed), f.join()
	f.crash(removed)
	f.awaitReplaced(id, replacement)
	accepted := f.apply(base, "b", testTree(2)).Revision
	gone.Close()
	removed.process.Voters = []settings.Member{{ID: "gone", Address: gone.Addr().String()}}
	f.start(removed, nil)
	f.awaitInstalledAt(removed, accepted)
}
