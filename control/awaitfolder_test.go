package control

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"

	"celeryport/settings"
	"celeryport/wal"
)

// failingFolder is a file system whose folder can't be opened while failure is set.
type failingFolder struct {
	wal.OS
	failures chan error // the failure of each attempt; closed: none
	attempts chan struct{}
}

func (f *failingFolder) MakeFolder(folder string) error {
	if err := <-f.failures; err != nil {
		f.attempts <- struct{}{}
		return err
	}
	return f.OS.MakeFolder(folder)
}

func newVoterOptions(t *testing.T, fs wal.FS) (Options, *test.Hook) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // closed by the node if it has started
	address := listener.Addr().String()
	log, hook := test.NewNullLogger()
	return Options{
		Process: &settings.Process{
			Name: "i0", AvailabilityZone: "z", Voter: true, MayFoundGroup: true, DataFolder: filepath.Join(t.TempDir(), "data"),
			ControlListen: address, Voters: []settings.Member{{ID: "i0", Address: address}}, InstanceKey: testInstanceKey,
		},
		Log: log, Listener: listener, FS: fs, Timing: testTiming(),
	}, hook
}

func logged(hook *test.Hook, message string) bool {
	for _, entry := range hook.AllEntries() {
		if entry.Message == message {
			return true
		}
	}
	return false
}

// Guards against a voter that ends for good because its disk is full, faulty or locked for some
// seconds when it starts, and against one that takes part before it has read its state.
func TestVoterWaitsForItsDataFolder(t *testing.T) {
	t.Parallel()
	disk := &failingFolder{failures: make(chan error, 8), attempts: make(chan struct{}, 8)}
	for _, err := range []error{syscall.ENOSPC, syscall.EIO, &wal.LockedError{}} {
		disk.failures <- err
	}
	options, hook := newVoterOptions(t, disk)
	node, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	if v := node.View(); v.Tree != nil || v.Upstreams == nil || !v.LeaseUntil.IsZero() {
		t.Errorf("view before the folder was read: %+v", v)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	for range 3 {
		<-disk.attempts
	}
	close(disk.failures)
	if err := node.SetSeeds(ctx, options.Process.Voters); err != nil { // answered by the control goroutine
		t.Fatal(err)
	}
	if node.View().Incarnation == 0 || !logged(hook, "waiting for the data folder") || !logged(hook, "data folder available") {
		t.Errorf("incarnation %d, log %v", node.View().Incarnation, hook.AllEntries())
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against a wait for the data folder that SIGTERM does not end.
func TestWaitForTheDataFolderEnds(t *testing.T) {
	t.Parallel()
	disk := &failingFolder{failures: make(chan error, 8), attempts: make(chan struct{}, 8)}
	disk.failures <- syscall.EIO
	disk.failures <- syscall.EIO
	options, _ := newVoterOptions(t, disk)
	node, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	<-disk.attempts
	<-disk.attempts
	if err := node.Drain(ctx); err != nil {
		t.Errorf("drain: %v", err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if err := node.SetSeeds(t.Context(), nil); err == nil {
		t.Error("a node that has ended accepts tasks")
	}
}

// Guards against a wait for what can't pass: a data folder that is a file, or that is damaged.
func TestUnusableDataFolderEndsTheStart(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(folder string) error{
		"a file": func(folder string) error { return os.WriteFile(folder, nil, 0o600) },
		"damaged": func(folder string) error {
			if err := os.Mkdir(folder, 0o700); err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(folder, incarnationFile), []byte("not an incarnation"), 0o600)
		},
	} {
		options, hook := newVoterOptions(t, wal.OS{})
		if err := spoil(options.Process.DataFolder); err != nil {
			t.Fatal(err)
		}
		for range 2 { // the second attempt must not find the folder locked by the first
			if _, err := New(options); err == nil || wal.MayPass(err) || !logged(hook, "data folder can't be used") {
				t.Errorf("%s: %v, log %v", name, err, hook.AllEntries())
			}
		}
	}
}
