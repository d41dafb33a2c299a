package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryport/standin/answer"
	"celeryport/upstream/wire"
)

// maxTokensPerFrame limits the text of one frame.
const maxTokensPerFrame = 256

// writeTimeout limits one write, which blocks when the reader does not read.
const writeTimeout = 5 * time.Second

// corruption is combined with the hash of the prompt to generate a wrong answer.
const corruption = 0x5eed

// answerWriter sends the answer of one stream to one reader as frames.
type answerWriter struct {
	scheduler *scheduler
	stream    *stream
	reader    uint64
	attempt   uint32 // attempt of the reader's request
	conn      net.Conn
	heartbeat time.Duration
	faults    *Faults
	fault     Fault
	ctx       context.Context

	to     *bufio.Writer
	sent   int // number of answer tokens sent, counted from offset 0
	digest *xxhash.Digest
	length int
}

// prepare sets the state for a reader that already has the first offset tokens of the answer.
func (w *answerWriter) prepare(offset int) {
	w.sent = offset
	w.digest = xxhash.New()
	before := w.stream.text(0, offset)
	_, _ = w.digest.Write(before)
	w.length = len(before)
}

// write sends the answer until it is complete or the stream has ended, or until the
// reader is disconnected or replaced.
func (w *answerWriter) write(to *bufio.Writer) {
	w.to = to
	heartbeat := time.NewTimer(w.heartbeat)
	defer heartbeat.Stop()
	for {
		w.faults.whileFrozen(w.ctx)
		v := w.scheduler.view(w.stream, w.reader)
		if v.replaced {
			return
		}
		if done, err := w.step(&v); done {
			return
		} else if err != nil {
			w.detachReader()
			return
		}
		if w.fault == FaultSilent && w.sent >= w.midpoint() {
			w.waitForEnd()
			return
		}
		heartbeat.Reset(w.heartbeat)
		select {
		case <-v.changed:
		case <-heartbeat.C:
			if w.send(w.frame(&wire.Frame{Heartbeat: true})) != nil {
				w.detachReader()
				return
			}
		}
	}
}

// step sends the tokens that are ready and reports whether the answer has ended.
func (w *answerWriter) step(v *view) (done bool, err error) {
	for w.sent < v.ready {
		if w.endEarly() {
			return true, nil
		}
		if err := w.sendText(v); err != nil {
			return false, err
		}
		if w.fault == FaultSilent && w.sent >= w.midpoint() {
			return false, nil
		}
	}
	if v.finished && w.sent == w.stream.maxTokens {
		return true, w.sendFinal()
	}
	if v.ended != "" {
		return true, w.send(w.frame(&wire.Frame{Error: string(v.ended)}))
	}
	return false, nil
}

// endEarly applies the faults that end an answer halfway and reports whether one did.
func (w *answerWriter) endEarly() bool {
	if w.sent < w.midpoint() {
		return false
	}
	switch w.fault {
	case FaultCloseShort:
		_ = w.conn.Close()
	case FaultEndShort:
	default:
		return false
	}
	w.detachReader()
	return true
}

// midpoint is the offset at which faults take effect, at least one token before the end.
func (w *answerWriter) midpoint() int { return w.stream.maxTokens / 2 }

func (w *answerWriter) sendText(v *view) error {
	to := min(v.ready, w.sent+maxTokensPerFrame)
	if w.faultsHalfway() {
		to = min(to, max(w.sent+1, w.midpoint()))
	}
	text := w.stream.text(w.sent, to)
	_, _ = w.digest.Write(text)
	w.length += len(text)
	shown := text
	if w.fault == FaultCorrupt {
		shown = answer.Append(nil, w.stream.hash^corruption, w.sent, to)
	}
	frame := w.frame(&wire.Frame{
		Text:     string(shown),
		Tokens:   to - w.sent,
		Cached:   v.cached,
		Checksum: w.digest.Sum64(),
	})
	w.sent = to
	return w.send(frame)
}

func (w *answerWriter) faultsHalfway() bool {
	return w.fault == FaultCloseShort || w.fault == FaultEndShort || w.fault == FaultSilent
}

// sendFinal sends the final frame. The stream counts as delivered only after the
// frame was written.
func (w *answerWriter) sendFinal() error {
	final := w.frame(&wire.Frame{Final: true, Length: w.length, Checksum: w.digest.Sum64()})
	if err := w.send(final); err != nil {
		w.detachReader()
		return nil
	}
	if w.fault == FaultTwice {
		_ = w.sendAgain(final)
	}
	w.scheduler.delivered(time.Now(), w.stream, w.reader)
	return nil
}

// sendAgain sends the whole answer once more after its final frame.
func (w *answerWriter) sendAgain(final *wire.Frame) error {
	whole := string(w.stream.text(0, w.sent))
	again := w.frame(&wire.Frame{Text: whole, Tokens: w.sent})
	again.Offset = 0
	if err := w.send(again); err != nil {
		return err
	}
	return w.send(final)
}

// frame sets the request, attempt and offset of a frame.
func (w *answerWriter) frame(f *wire.Frame) *wire.Frame {
	f.Request = w.stream.request
	f.Attempt = w.attempt
	f.Offset = w.sent
	if w.fault == FaultCrossed {
		f.Request = "crossed-" + f.Request
	}
	return f
}

func (w *answerWriter) send(f *wire.Frame) error {
	line, err := json.Marshal(f)
	if err != nil {
		return err
	}
	// Without a deadline, a reader that has stopped reading would block this writer for ever.
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.to.Write(append(line, '\n')); err != nil {
		return err
	}
	return w.to.Flush()
}

// detachReader informs the scheduler that the reader has disconnected.
func (w *answerWriter) detachReader() {
	w.scheduler.detach(time.Now(), w.stream, w.reader)
}

// waitForEnd keeps the connection open without sending until the stream ends or
// another reader takes it over.
func (w *answerWriter) waitForEnd() {
	for {
		v := w.scheduler.view(w.stream, w.reader)
		if v.ended != "" || v.replaced {
			return
		}
		<-v.changed
	}
}
