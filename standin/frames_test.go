package standin_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"celeryport/standin"
	"celeryport/upstream/wire"
)

// frames sends a prompt and returns the frames of the answer unchecked.
func (b *bench) frames(t *testing.T, id string, tokens, output int) []wire.Frame {
	t.Helper()
	conn, err := b.network.dial(context.Background(), "engine")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body, err := json.Marshal(&wire.GenerateRequest{Model: "sarto", Prompt: prompt(tokens), MaxTokens: output})
	if err != nil {
		t.Fatal(err)
	}
	var request fasthttp.Request
	var response fasthttp.Response
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://engine" + wire.PathGenerate)
	request.Header.Set("Authorization", "Bearer "+engineKey)
	request.Header.Set(wire.HeaderRequestID, id)
	request.SetBody(body)
	if _, err := request.WriteTo(conn); err != nil {
		t.Fatal(err)
	}
	if err := response.Read(bufio.NewReader(conn)); err != nil {
		t.Fatal(err)
	}
	var frames []wire.Frame
	for line := range bytes.Lines(response.Body()) {
		var frame wire.Frame
		if err := json.Unmarshal(line, &frame); err != nil {
			t.Fatal(err)
		}
		frames = append(frames, frame)
	}
	return frames
}

// A text is corrupted in transit. The checksum of the final frame reveals that only
// after the caller has read the corrupted text; the checksum of each frame reveals it
// before.
func TestEngineSendsChecksumWithEveryText(t *testing.T) {
	for _, test := range []struct {
		fault standin.Fault
		right bool
	}{{"", true}, {standin.FaultCorrupt, false}} {
		inBubble(t, func(t *testing.T) {
			b := newBench(nil)
			defer b.engine.Close()
			if test.fault != "" {
				b.engine.Faults().Set(standin.FaultSwitch{Fault: test.fault, Times: 1})
			}
			digest := xxhash.New()
			texts := 0
			for _, frame := range b.frames(t, "r1", 30_000, 200) {
				if frame.Text == "" {
					continue
				}
				texts++
				digest.WriteString(frame.Text)
				if right := frame.Checksum == digest.Sum64(); right != test.right {
					t.Fatalf("%q: checksum of the text at offset %d matches: %v", test.fault, frame.Offset, right)
				}
			}
			if texts < 2 {
				t.Errorf("%d frames with text", texts)
			}
		})
	}
}
