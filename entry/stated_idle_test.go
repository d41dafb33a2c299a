package entry

import (
	"fmt"
	"testing"
)

// Guards against calls that cross the close of their idle connection because no answer stated for how long it
// stays open.
func TestAnswersStateForHowLongTheirConnectionStaysOpen(t *testing.T) {
	warmUp(t)
	for _, c := range []call{completion("p", false), completion("p", true), {path: pathAddresses}, {path: pathCompletions, body: "{"}, {path: "/v1/services/cassa/hold", body: "x"}} {
		t.Run(fmt.Sprint(c.path, " ", c.body), func(t *testing.T) {
			inBubble(t, map[string]script{"e1": answers("ok")}, func(t *testing.T, b *testBed) {
				if r := b.do(c); r.header.Get(headerKeepAlive) != statedIdle {
					t.Errorf("status %d, fields %v", r.status, r.header)
				}
			})
		})
	}
}
