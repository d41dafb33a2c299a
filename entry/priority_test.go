package entry

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/dispatch"
	"celeryport/upstream/wire"
)

// raising gives every send a priority of its own.
type raising struct{ dispatch.Dispatcher }

func (d raising) Actions() []dispatch.Action {
	actions := d.Dispatcher.Actions()
	for i := range actions {
		actions[i].Priority = 4711
	}
	return actions
}

func TestEngineGetsThePriorityOfTheDecision(t *testing.T) {
	// The dispatcher lets short prompts go before long ones, and aged long ones
	// before new ones, by the priority that it gives each send. If the engine got
	// that of the class instead, a short question would wait behind an audit.
	warm(t)
	var seen string
	look := func(conn net.Conn, r *fasthttp.Request) {
		seen = string(r.Header.Peek(wire.HeaderPriority))
		answers("ok")(conn, r)
	}
	inBubble(t, map[string]script{"e1": look}, func(t *testing.T, b *bench) {
		b.server.driver.do(func(time.Time) { b.server.driver.dispatcher = raising{b.server.driver.dispatcher} })
		if got := b.do(completion("p", false)); got.status != 200 || seen != "4711" {
			t.Errorf("status %d, the engine saw priority %q", got.status, seen)
		}
	})
}
