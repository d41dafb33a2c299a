package connlimit

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against requests that cross the close of an idle connection and get no answer, because no answer has stated for how
// long the connection may be idle.
func TestAnswersStateTheIdleTime(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		w := httptest.NewRecorder()
		StateIdle(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		if got := w.Header().Get("Keep-Alive"); w.Code != status || got != "timeout=4" {
			t.Errorf("status %d with Keep-Alive %q", w.Code, got)
		}
	}
	if statedIdle >= minIdle {
		t.Errorf("%s are stated, connections are closed after %s", statedIdle, minIdle)
	}
}
