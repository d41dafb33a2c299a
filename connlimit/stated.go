package connlimit

import (
	"fmt"
	"net/http"
	"time"
)

// statedIdle is the idle time of a connection that answers state. It is shorter than minIdle, so that no request of a
// client that keeps to it crosses the close of an idle connection.
const statedIdle = minIdle - time.Second

var keepAlive = fmt.Sprintf("timeout=%d", int(statedIdle.Seconds()))

// StateIdle returns a handler whose answers state for how long a client may leave the connection idle.
func StateIdle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Keep-Alive", keepAlive)
		next.ServeHTTP(w, r)
	})
}
