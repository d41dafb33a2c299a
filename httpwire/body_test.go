package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
)

// Guards against peers that claim much memory by stating a long body and sending little of it.
func TestMemoryOfABodyFollowsWhatHasArrived(t *testing.T) {
	const arrived = 10_000
	for name, framing := range map[string]Framing{"sized": {Kind: Sized, Length: 4 << 20}, "until the end": {Kind: UntilClose}} {
		reserved := int64(0)
		body := NewBody(bufio.NewReader(strings.NewReader(strings.Repeat("x", arrived))), framing)
		_, _ = body.ReadAllReserving(8<<20, func(n int64) error { reserved += n; return nil }) // the body may be truncated
		if reserved > 4*arrived {
			t.Errorf("%s: %d bytes reserved for %d", name, reserved, arrived)
		}
		reserved = 0
		body = NewBody(bufio.NewReader(strings.NewReader(strings.Repeat("x", arrived))), framing)
		_, _ = body.ReadPieces(8<<20, func(n int64) error { reserved += n; return nil })
		if reserved > 4*arrived {
			t.Errorf("%s, in pieces: %d bytes reserved for %d", name, reserved, arrived)
		}
	}
	full := errors.New("full")
	body := NewBody(bufio.NewReader(strings.NewReader(strings.Repeat("x", arrived))), Framing{Kind: Sized, Length: arrived})
	if _, err := body.ReadAllReserving(8<<20, func(int64) error { return full }); !errors.Is(err, full) {
		t.Errorf("read without memory: %v", err)
	}
}

// Guards against a body in pieces that is not the body, or that is taken for whole after a failure.
func TestPiecesAreTheBody(t *testing.T) {
	for _, size := range []int{0, 1, firstRead, firstRead + 1, maxPiece, 3*maxPiece + 7} {
		text := strings.Repeat("0123456789", size/10+1)[:size]
		chunked := string(append(AppendChunk(nil, []byte(text)), LastChunk...))
		if size == 0 {
			chunked = LastChunk
		}
		for name, test := range map[string]struct {
			wire    string
			framing Framing
		}{
			"sized":           {text, Framing{Kind: Sized, Length: int64(size)}},
			"chunked":         {chunked, Framing{Kind: Chunked}},
			"until the close": {text, Framing{Kind: UntilClose}},
		} {
			body := NewBody(bufio.NewReader(strings.NewReader(test.wire)), test.framing)
			pieces, err := body.ReadPieces(int64(size), func(int64) error { return nil })
			if got := string(bytes.Join(pieces, nil)); err != nil || got != text {
				t.Errorf("%s, %d bytes: %d bytes, %v", name, size, len(got), err)
			}
			if size == 0 || test.framing.Kind == UntilClose {
				continue
			}
			body = NewBody(bufio.NewReader(strings.NewReader(test.wire[:len(test.wire)-1])), test.framing)
			if _, err := body.ReadPieces(int64(size), func(int64) error { return nil }); !errors.Is(err, ErrTruncated) {
				t.Errorf("%s, the last of %d bytes is missing: %v", name, size, err)
			}
		}
		body := NewBody(bufio.NewReader(strings.NewReader(text+"x")), Framing{Kind: UntilClose})
		if _, err := body.ReadPieces(int64(size), func(int64) error { return nil }); StatusOf(err) != http.StatusRequestEntityTooLarge {
			t.Errorf("one byte more than %d: %v", size, err)
		}
	}
}
