package entry

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/dispatch"
	"celeryport/upstream/wire"
)

// fixedPriorityDispatcher gives every send the priority 4711.
type fixedPriorityDispatcher struct{ dispatch.Dispatcher }

func (d fixedPriorityDispatcher) Actions() []dispatch.Action {
	actions := d.Dispatcher.Actions()
	for i := range actions {
		actions[i].Priority = 4711
	}
	return actions
}

func TestEngineGetsPriorityOfDispatcher(t *testing.T) {
	// The dispatcher assigns each send a priority that puts short prompts before long
	// ones and aged long ones before new ones. If the engine got the priority of the class
	// instead, short prompts would wait behind long ones.
	warmUp(t)
	var seen string
	recordPriority := func(conn net.Conn, r *fasthttp.Request) {
		seen = string(r.Header.Peek(wire.HeaderPriority))
		answers("ok")(conn, r)
	}
	inBubble(t, map[string]script{"e1": recordPriority}, func(t *testing.T, b *testBed) {
		b.server.driver.do(func(time.Time) { b.server.driver.dispatcher = fixedPriorityDispatcher{b.server.driver.dispatcher} })
		if got := b.do(completion("p", false)); got.status != 200 || seen != "4711" {
			t.Errorf("status %d, the engine got priority %q", got.status, seen)
		}
	})
}
