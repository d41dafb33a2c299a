package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/settings"
)

func TestPollsKeepTheirConnection(t *testing.T) {
	// Each engine is polled once a second, and closes connections that were idle for two.
	// If every poll opened a new connection, half of all connections of the fleet would be
	// for polls, and engines would spend on them what their callers wait for.
	synctest.Test(t, func(t *testing.T) {
		opened := 0
		dial := func(context.Context, string, string) (net.Conn, error) {
			opened++
			here, there := net.Pipe()
			t.Cleanup(func() { there.Close() })
			return here, nil
		}
		f := newFleet(&Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2)), Dial: dial})
		f.mu.Lock()
		n := f.node(announced(100))
		f.mu.Unlock()
		take := func(part float64) {
			c, err := f.connect(t.Context(), n, part, false)
			if err != nil {
				t.Fatal(err)
			}
			f.keep(n, c, 0)
		}
		for range 10 {
			take(pollShare)
			time.Sleep(pollInterval + pollTick)
		}
		if opened != 1 {
			t.Errorf("10 polls opened %d connections, want 1", opened)
		}
		take(callShare)
		if opened != 2 {
			t.Error("a call that may not be repeated went on a connection that the engine may be closing")
		}
		take(callShare)
		time.Sleep(defaultIdleFor)
		take(pollShare)
		if opened != 3 {
			t.Errorf("%d connections were opened, want a new one after the idle time", opened)
		}
	})
}
