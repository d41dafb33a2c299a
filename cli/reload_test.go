package cli

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"
)

const reloadedSettings = `[process]
name = front-1
availability_zone = z1
serves = forwarding
found = false
[listen]
address = 127.0.0.1:1
[control]
address = 127.0.0.1:2
[keys]
instance = shared-by-the-instances-of-this-fleet
[voters]
s0 = `

func TestSIGHUPReloadsSettings(t *testing.T) {
	// All control group addresses that an instance knows have been replaced. Guards
	// against a SIGHUP that ends the process, or that is ignored, so that the instance
	// keeps connecting to the previous addresses.
	path := filepath.Join(t.TempDir(), "process.ini")
	write := func(voter string) {
		if err := os.WriteFile(path, []byte(reloadedSettings+voter+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	write("127.0.0.1:3")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reload := make(chan struct{}, 1)
	followSignals(ctx, log, reload)
	changes := watchSettings(ctx, instanceFile{path: path, text: []byte(reloadedSettings + "127.0.0.1:3\n")}, reload, log)
	write("127.0.0.1:4")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if p := <-changes; len(p.Voters) != 1 || p.Voters[0].Address != "127.0.0.1:4" {
		t.Errorf("voters %v", p.Voters)
	}
	write("nonsense") // must be ignored
	write("127.0.0.1:5")
	if p := <-changes; p.Voters[0].Address != "127.0.0.1:5" {
		t.Errorf("voters %v after a faulty file", p.Voters)
	}
}
