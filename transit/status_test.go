package transit

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"celeryport/rpc"
)

// Guards against an answer to an upgrade that counts as one of another instance although it is none: one without a status,
// of another protocol, or a part.
func TestUpgradeIsAnsweredByAnInstanceOnly(t *testing.T) {
	open := func(text string) error {
		pool := NewPool("a", "z", "k", func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					_, _ = io.WriteString(far, text)
				}
			}()
			return near, nil
		})
		conn, err := pool.open(t.Context(), "peer", rpc.TransitAsk{})
		if err == nil {
			_ = conn.Close()
		}
		return err
	}
	const fields = "\r\nConnection: Upgrade\r\nUpgrade: " + rpc.TransitProtocol + "\r\n\r\n"
	for _, line := range []string{
		"HTTP/2.0 101 Switching Protocols", "HTTP/0.9 101 Switching Protocols", "HTTP/3.0 424 None", "HTTP/2.0 410 Gone", "HTTP/1.1 000 None",
		"HTTP/1.1 600 None", "HTTP/1.1 1010 None", "HTTP/1.1 +101 None", "HTTP/1.1 200 OK",
	} {
		if err := open(line + fields); err == nil || errors.IsAny(err, ErrReachesNone, errUpstreamEnded) {
			t.Errorf("%q: %v", line, err)
		}
	}
	for size := range len(rpc.TransitAccepted) {
		if open(rpc.TransitAccepted[:size]) == nil {
			t.Errorf("%q: accepted", rpc.TransitAccepted[:size])
		}
	}
	if err := open(rpc.TransitAccepted); err != nil {
		t.Error(err)
	}
}
