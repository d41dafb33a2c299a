package instance

import (
	"testing"
	"time"

	"celeryport/settings"
)

// Guards against a stop that waits for an announcement for longer than its drain timeout, so that nothing after it ends in
// time.
func TestAnnouncementLeavesTimeForTheRestOfTheStop(t *testing.T) {
	r := runInstance(t, func(o *Options) {
		o.Process.Voters, o.Traffic, o.Control = []settings.Member{{ID: "voter", Address: listen(t).Addr().String()}}, listen(t), listen(t)
		o.Process.Readiness = "127.0.0.1:0"
	})
	r.await(loggedServing)
	asked := time.Now()
	r.requested()
	for {
		select {
		case line := <-r.lines:
			if line.Data["event"] == loggedNotEnded {
				t.Errorf("%s after the request: %v", time.Since(asked), line.Data)
			}
			if line.Data["event"] != loggedStopped {
				continue
			}
			if took := time.Since(asked); took > testDrain {
				t.Errorf("stopped after %s", took)
			}
			if err := r.ends(); err != nil {
				t.Error(err)
			}
			return
		case <-time.After(testTimeout):
			t.Fatal("no end")
		}
	}
}
