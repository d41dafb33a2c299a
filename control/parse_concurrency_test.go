package control

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/settings"
)

func TestSettingsAreParsedOutsideTheControlGoroutine(t *testing.T) {
	// A voter with a small processor gets a document of a thousand routes. If the
	// goroutine that answers heartbeats parsed it, the voter would be unresponsive for
	// longer than an election timeout with each change of a series.
	entered, release := make(chan struct{}), make(chan struct{})
	node, err := New(Options{
		Process: &settings.Process{Name: "i", Listen: "127.0.0.1:1", ControlListen: "127.0.0.1:2"},
		Log:     logrus.New(),
		Parse: func(file string, text []byte) (*settings.Tree, error) {
			close(entered) // a second parse would panic
			<-release
			return settings.ParseTree(file, text)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- node.loop(ctx) }()
	taken := make(chan error, 1)
	answer := &searchAnswer{target: "a", request: &syncRequest{}, response: &syncResponse{Epoch: "a/1", Revision: 5, LeaseMs: 1, Text: testTree(5)}}
	go func() { taken <- node.applyAnswer(ctx, answer) }()
	<-entered
	answered, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := node.do(answered, func(time.Time) {}); err != nil {
		t.Fatalf("the control goroutine does not answer while settings are parsed: %v", err)
	}
	close(release)
	if err := <-taken; err != nil {
		t.Fatal(err)
	}
	if err := node.do(ctx, func(time.Time) {}); err != nil || node.core.installed.revision() != 5 {
		t.Errorf("revision %d is installed, %v", node.core.installed.revision(), err)
	}
	end()
	<-ended
}
