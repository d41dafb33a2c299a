package control

import (
	"testing"

	"celeryport/settings"
	"celeryport/wal"
)

func TestNoLowerRevisionIsInstalled(t *testing.T) {
	// A response of a former leader arrives late, or the process restarts while its voters
	// are behind. A lower revision would restore what was revoked.
	folder := dataFolder{t.TempDir(), wal.OS{}}
	before := installed{folder: folder, parse: settings.ParseTree}
	if err := before.install(7, testTree(7)); err != nil {
		t.Fatal(err)
	}
	if err := before.install(5, testTree(5)); err != nil || before.revision() != 7 {
		t.Fatalf("revision %d installed over 7 (%v)", before.revision(), err)
	}
	after := installed{folder: folder, parse: settings.ParseTree}
	if err := after.load(); err != nil {
		t.Fatal(err)
	}
	if err := after.install(6, testTree(6)); err != nil || after.revision() != 7 {
		t.Fatalf("revision %d after a restart from 7 (%v)", after.revision(), err)
	}
}

func TestFaultySettingsAreNotInstalledInPart(t *testing.T) {
	// An instance of an older version cannot parse an accepted tree. It must keep the old
	// one and be listed as outstanding, and not admit requests by a part of the new tree.
	i := installed{parse: settings.ParseTree}
	if err := i.install(1, testTree(1)); err != nil {
		t.Fatal(err)
	}
	if err := i.install(2, []byte("[novel]\nkey = 1\n")); err == nil || i.revision() != 1 {
		t.Fatalf("revision %d, error %v", i.revision(), err)
	}
}
