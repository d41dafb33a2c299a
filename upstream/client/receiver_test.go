package client

import (
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"celeryport/upstream/wire"
)

func acceptAll(r *Receiver, list []wire.Frame) (string, error) {
	var text strings.Builder
	for i := range list {
		part, err := r.Accept(&list[i])
		text.WriteString(part)
		if err != nil {
			return text.String(), err
		}
	}
	return text.String(), nil
}

func TestReceiverGoesOnAfterABreak(t *testing.T) {
	// A stream breaks after the caller has received two tokens. The text after the
	// break must be exactly the rest of the same answer: the caller could not detect
	// a repeated or missing word, or the end of a different answer.
	words := []string{"one ", "two ", "three ", "four"}
	seen := frames("r1", 1, words...)[:2]
	tests := map[string]struct {
		offset int
		frames []wire.Frame
		text   string
		err    error
	}{
		"resumed at the offset":       {2, frames("r1", 2, words...)[2:], "three four", nil},
		"rerun with the same text":    {0, frames("r1", 2, words...), "three four", nil},
		"rerun with larger frames":    {0, merged("r1", 2, words...), "three four", nil},
		"rerun with a different text": {0, frames("r1", 2, "one ", "zwei ", "drei"), "", ErrDiverged},
		"rerun with a shorter text":   {0, frames("r1", 2, "one "), "", ErrChecksum},
		"late frame of attempt 1":     {2, frames("r1", 1, words...)[2:], "", ErrForeignFrame},
		"running checksum matches":    {2, withChecksums(frames("r1", 2, words...))[2:], "three four", nil},
		"text corrupted in transit":   {2, corrupted(withChecksums(frames("r1", 2, words...)))[2:], "", ErrChecksum},
		"resumed at the wrong offset": {2, frames("r1", 2, words...)[1:], "", ErrWrongOffset},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewReceiver("r1")
			r.Expect(1, 0)
			if _, err := acceptAll(r, seen); err != nil {
				t.Fatal(err)
			}
			r.Expect(2, test.offset)
			text, err := acceptAll(r, test.frames)
			if text != test.text || !errors.Is(err, test.err) {
				t.Fatalf("got %q and %v", text, err)
			}
			if r.Complete() != (test.err == nil) {
				t.Fatalf("complete is %v", r.Complete())
			}
		})
	}
}

// merged returns the frames of a complete answer with all tokens in one frame.
func merged(request string, attempt uint32, words ...string) []wire.Frame {
	list := frames(request, attempt, words...)
	final := list[len(list)-1]
	return []wire.Frame{
		{Request: request, Attempt: attempt, Text: strings.Join(words, ""), Tokens: len(words)},
		final,
	}
}

// withChecksums adds the running checksum that an engine may send with each text frame.
func withChecksums(list []wire.Frame) []wire.Frame {
	var digest xxhash.Digest
	digest.Reset()
	for i := range list {
		_, _ = digest.WriteString(list[i].Text)
		if !list[i].Final {
			list[i].Checksum = digest.Sum64()
		}
	}
	return list
}

// corrupted changes the text of the third frame.
func corrupted(list []wire.Frame) []wire.Frame {
	list[2].Text = "THREE "
	return list
}
