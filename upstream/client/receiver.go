package client

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"celeryport/upstream/wire"
)

// Receiver verifies that the frames of an answer belong to its request, are in
// order and are complete. It is kept when a stream breaks: after a resume it
// continues at the end of the last complete frame, and after a rerun on another
// engine it skips the text that the caller has already received, provided that
// the rerun repeats it exactly.
type Receiver struct {
	request  string
	attempt  uint32
	offset   int // number of answer tokens accepted, counted from offset 0
	length   int // number of bytes accepted
	digest   xxhash.Digest
	seen     []byte // the accepted bytes, for comparison with a rerun
	replayed int    // number of bytes of seen that the current stream has repeated
	position int    // token offset of the current stream, replayed tokens included
	cached   int    // prompt tokens taken from the prefix cache
	final    bool
}

// Protocol violations of an upstream.
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

// Expect prepares the receiver for the stream of an attempt that starts at the
// given token offset: the value of Offset for a resume, 0 for a rerun.
func (r *Receiver) Expect(attempt uint32, offset int) {
	r.attempt = attempt
	r.position = offset
	r.replayed = 0
	if offset > 0 {
		r.replayed = len(r.seen)
	}
}

// Accept verifies one frame and returns the part of its text that the caller has not received yet.
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
	if f.Offset != r.position || f.Tokens < 0 {
		return "", errors.Wrapf(ErrWrongOffset, "got %d, want %d", f.Offset, r.position)
	}
	r.cached = max(r.cached, f.Cached)
	text, err := r.acceptText(f)
	if err != nil {
		return "", err
	}
	if f.Final {
		return text, r.finish(f)
	}
	return text, nil
}

func (r *Receiver) acceptText(f *wire.Frame) (string, error) {
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

// maxText limits the text of an answer in bytes.
const maxText = 8 << 20

// exceeds reports whether the current stream has more tokens than asked for, if that is stated, or the text is
// too long.
func (r *Receiver) exceeds(maxTokens int) bool {
	return maxTokens > 0 && r.position > maxTokens || r.length > maxText
}

// Complete reports whether the whole answer was received and verified.
func (r *Receiver) Complete() bool { return r.final }

// Offset returns the number of answer tokens accepted.
func (r *Receiver) Offset() int { return r.offset }

// Cached returns the number of prompt tokens taken from the prefix cache.
func (r *Receiver) Cached() int { return r.cached }
