package control

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/settings"
)

func TestConsensusMessagesPrecedeSyncs(t *testing.T) {
	// A fleet starts and hundreds of syncs are queued at a voter with a small processor,
	// with a heartbeat of the leader behind them. If the heartbeat waited for all of them,
	// the voter would consider the leader dead and start an election, repeatedly.
	node, err := New(Options{
		Process: &settings.Process{Name: "i", Listen: "127.0.0.1:1", ControlListen: "127.0.0.1:2"},
		Log:     logrus.New(),
	})
	if err != nil {
		t.Fatal(err)
	}
	const syncs = 500
	ctx, end := context.WithCancel(t.Context())
	defer end()
	done, heartbeatAfter := 0, 0
	for range syncs {
		node.tasks <- func(time.Time) {
			done++
			switch done {
			case 10:
				node.postMessages(func(time.Time) { heartbeatAfter = done })
			case syncs:
				end()
			}
		}
	}
	_ = node.loop(ctx)
	if heartbeatAfter == 0 || heartbeatAfter > 10+tasksPerStep {
		t.Errorf("the heartbeat was processed after %d of %d syncs", heartbeatAfter, syncs)
	}
}
