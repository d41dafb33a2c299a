// Package bodylimit bounds the bytes and the time of request bodies at servers of net/http, whose own limits
// cover heads only.
package bodylimit

import (
	"io"
	"net/http"
	"time"
)

// Limit bounds the body of one request.
type Limit struct {
	Bytes int64
	Time  time.Duration // from the end of the head until the body is complete
}

// Handler serves requests with next and fails its reads of a body at the limit: with a *http.MaxBytesError, or
// with a time-out. What next leaves unread is bounded as well. A request without a body has no limit.
func Handler(next http.Handler, limit Limit) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		connection := http.NewResponseController(w)
		if err := connection.SetReadDeadline(time.Now().Add(limit.Time)); err != nil {
			http.Error(w, "the body can't be read", http.StatusInternalServerError)
			return
		}
		bounded := *r
		bounded.Body = &body{ReadCloser: http.MaxBytesReader(w, r.Body, limit.Bytes), connection: connection}
		next.ServeHTTP(w, &bounded)
	})
}

// body lifts the deadline at its end: the server reads on to notice that the client leaves, and a time-out would
// end a handler that is still at work.
type body struct {
	io.ReadCloser
	connection *http.ResponseController
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if failed := b.connection.SetReadDeadline(time.Time{}); failed != nil {
			return n, failed
		}
	}
	return n, err
}
