package entry

import (
	"net/http"
	"testing"
	"testing/synctest"
)

// Guards against callers that keep an empty list of addresses, because the instance that they ask knows of no live one.
func TestEmptyListOfAddressesIsNoAnswer(t *testing.T) {
	warmUp(t)
	inBubble(t, map[string]script{}, func(t *testing.T, b *testBed) {
		if got := b.do(call{path: pathAddresses}); got.status != http.StatusOK {
			t.Errorf("status %d: %s", got.status, got.body)
		}
		b.plane.mu.Lock()
		b.plane.view.Instances = nil
		b.plane.mu.Unlock()
		if got := b.do(call{path: pathAddresses}); got.status != http.StatusServiceUnavailable || got.header.Get(headerRetryAfter) == "" {
			t.Errorf("status %d: %s", got.status, got.body)
		}
		synctest.Wait()
	})
}
