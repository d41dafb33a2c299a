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

// mostTokensPerFrame bounds the text of one frame.
const mostTokensPerFrame = 256

// writeTimeout bounds one write to a reader that does not read.
const writeTimeout = 5 * time.Second

// corruption is mixed into the hash of the prompt to answer another text.
const corruption = 0x5eed

// answerWriter sends one stream's answer to one reader as frames.
type answerWriter struct {
	scheduler *scheduler
	stream    *stream
	reader    uint64
	attempt   uint32 // of this reader
	conn      net.Conn
	heartbeat time.Duration
	faults    *Faults
	fault     Fault
	ctx       context.Context

	to     *bufio.Writer
	sent   int // answer tokens sent, from offset 0
	digest *xxhash.Digest
	length int
}

// prepare accounts for the part of the answer that the reader has already.
func (w *answerWriter) prepare(offset int) {
	w.sent = offset
	w.digest = xxhash.New()
	before := w.stream.text(0, offset)
	_, _ = w.digest.Write(before)
	w.length = len(before)
}

// write sends the answer until it is complete or ended, or until the reader is
// lost or replaced.
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
			w.lost()
			return
		}
		if w.fault == FaultSilent && w.sent >= w.half() {
			w.waitForEnd()
			return
		}
		heartbeat.Reset(w.heartbeat)
		select {
		case <-v.changed:
		case <-heartbeat.C:
			if w.send(w.frame(&wire.Frame{Heartbeat: true})) != nil {
				w.lost()
				return
			}
		}
	}
}

// step sends what is ready and reports whether the answer is over.
func (w *answerWriter) step(v *view) (done bool, err error) {
	for w.sent < v.ready {
		if w.cutsShort() {
			return true, nil
		}
		if err := w.sendText(v); err != nil {
			return false, err
		}
		if w.fault == FaultSilent && w.sent >= w.half() {
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

// cutsShort carries out the faults that end an answer in its middle.
func (w *answerWriter) cutsShort() bool {
	if w.sent < w.half() {
		return false
	}
	switch w.fault {
	case FaultCloseShort:
		_ = w.conn.Close()
	case FaultEndShort:
	default:
		return false
	}
	w.lost()
	return true
}

// half is where the faults strike, at least one token before the end.
func (w *answerWriter) half() int { return w.stream.maxTokens / 2 }

func (w *answerWriter) sendText(v *view) error {
	to := min(v.ready, w.sent+mostTokensPerFrame)
	if w.faultsHalfway() {
		to = min(to, max(w.sent+1, w.half()))
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

// sendFinal ends the answer. The stream counts as delivered only when the frame
// was written.
func (w *answerWriter) sendFinal() error {
	final := w.frame(&wire.Frame{Final: true, Length: w.length, Checksum: w.digest.Sum64()})
	if err := w.send(final); err != nil {
		w.lost()
		return nil
	}
	if w.fault == FaultTwice {
		_ = w.sendAgain(final)
	}
	w.scheduler.delivered(time.Now(), w.stream, w.reader)
	return nil
}

// sendAgain repeats the whole answer after its end.
func (w *answerWriter) sendAgain(final *wire.Frame) error {
	whole := string(w.stream.text(0, w.sent))
	again := w.frame(&wire.Frame{Text: whole, Tokens: w.sent})
	again.Offset = 0
	if err := w.send(again); err != nil {
		return err
	}
	return w.send(final)
}

// frame labels a frame.
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
	// A reader that stopped reading would hold this writer for ever.
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.to.Write(append(line, '\n')); err != nil {
		return err
	}
	return w.to.Flush()
}

// lost tells the scheduler that this reader is gone.
func (w *answerWriter) lost() {
	w.scheduler.detach(time.Now(), w.stream, w.reader)
}

// waitForEnd keeps the connection open and silent until the stream ends or
// another reader takes over.
func (w *answerWriter) waitForEnd() {
	for {
		v := w.scheduler.view(w.stream, w.reader)
		if v.ended != "" || v.replaced {
			return
		}
		<-v.changed
	}
}
