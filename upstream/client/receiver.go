package client

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"celeryport/upstream/wire"
)

// Receiver checks that the frames of an answer are those of its own request, in
// order and complete. It outlives a broken stream: after a resume it goes on
// where the last whole frame ended, and after a rerun on another engine it skips
// what the caller has already seen, but only if it is the same text.
type Receiver struct {
	request  string
	attempt  uint32
	offset   int // answer tokens accepted from offset 0
	length   int // their bytes
	digest   xxhash.Digest
	seen     []byte // the accepted bytes, kept to compare a rerun
	replayed int    // bytes of seen that the present stream has repeated
	position int    // tokens of the present stream, replayed ones included
	cached   int
	final    bool
}

// The ways in which an upstream breaks the protocol.
var (
	ErrForeignFrame = errors.New("frame of another request or attempt")
	ErrWrongOffset  = errors.New("frame at a wrong offset")
	ErrAfterFinal   = errors.New("frame after the final one")
	ErrIncomplete   = errors.New("answer ended before its final frame")
	ErrChecksum     = errors.New("length or checksum of the answer differs")
	ErrDiverged     = errors.New("rerun differs from what the caller has seen")
)

// NewReceiver returns a receiver for the answer to the request.
func NewReceiver(request string) *Receiver {
	r := &Receiver{request: request}
	r.digest.Reset()
	return r
}

// Expect prepares for the stream of an attempt that starts at offset tokens:
// Offset() to resume, or 0 to rerun from the start.
func (r *Receiver) Expect(attempt uint32, offset int) {
	r.attempt = attempt
	r.position = offset
	r.replayed = 0
	if offset > 0 {
		r.replayed = len(r.seen)
	}
}

// Accept checks one frame and returns the text that is new to the caller.
func (r *Receiver) Accept(f *wire.Frame) (string, error) {
	if f.Request != r.request || f.Attempt != r.attempt {
		return "", errors.Wrapf(ErrForeignFrame, "got %s/%d, want %s/%d", f.Request, f.Attempt, r.request, r.attempt)
	}
	if r.final {
		return "", ErrAfterFinal
	}
	if f.Heartbeat {
		return "", nil
	}
	if f.Offset != r.position {
		return "", errors.Wrapf(ErrWrongOffset, "got %d, want %d", f.Offset, r.position)
	}
	r.cached = max(r.cached, f.Cached)
	text, err := r.take(f)
	if err != nil {
		return "", err
	}
	if f.Final {
		return text, r.finish(f)
	}
	return text, nil
}

func (r *Receiver) take(f *wire.Frame) (string, error) {
	text := f.Text
	r.position += f.Tokens
	if pending := r.seen[r.replayed:]; len(pending) > 0 {
		n := min(len(pending), len(text))
		if string(pending[:n]) != text[:n] {
			return "", ErrDiverged
		}
		r.replayed += n
		text = text[n:]
	}
	digest := r.digest
	_, _ = digest.WriteString(text)
	if f.Checksum != 0 && !f.Final && r.replayed == len(r.seen) && f.Checksum != digest.Sum64() {
		return "", ErrChecksum
	}
	r.digest = digest
	r.seen = append(r.seen, text...)
	r.replayed += len(text)
	r.length += len(text)
	r.offset = max(r.offset, r.position)
	return text, nil
}

func (r *Receiver) finish(f *wire.Frame) error {
	if r.replayed != len(r.seen) || f.Length != r.length || f.Checksum != r.digest.Sum64() {
		return ErrChecksum
	}
	r.final = true
	return nil
}

// Complete reports whether the whole answer was received and checked.
func (r *Receiver) Complete() bool { return r.final }

// Offset is the number of answer tokens accepted.
func (r *Receiver) Offset() int { return r.offset }

// Cached is the number of prompt tokens that came from the prefix cache.
func (r *Receiver) Cached() int { return r.cached }
