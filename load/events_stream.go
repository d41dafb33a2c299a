package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"celeryport/verdict"
)

// completion is a whole answer, or one event of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Choices []choice `json:"choices"`
	Marks   *marks   `json:"celeryport"`
	Error   *failure `json:"error"`
}

type choice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// marks is what the last event of a stream says of the request.
type marks struct {
	Verdict   verdict.Verdict `json:"verdict"`
	RequestID string          `json:"request_id"`
}

// failure is the error of a refusal or of a failed stream.
type failure struct {
	Type       string          `json:"type"`
	Message    string          `json:"message"`
	Verdict    verdict.Verdict `json:"verdict"`
	RetryAfter int64           `json:"retry_after_ms"`
}

const (
	maxEventBytes = 4 << 20
	dataPrefix    = "data:"
	doneMark      = "[DONE]"
)

// errDone is returned after the mark that ends a stream.
var errDone = errors.New("done")

// eventReader reads server-sent events.
type eventReader struct {
	lines *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &eventReader{lines: lines}
}

// next returns the next event, errDone after the last one, or io.EOF if the
// stream ended without its mark.
func (r *eventReader) next() (*completion, error) {
	for r.lines.Scan() {
		line := bytes.TrimSpace(r.lines.Bytes())
		data, isData := bytes.CutPrefix(line, []byte(dataPrefix))
		if !isData {
			continue // a comment that keeps the connection alive, or a blank line
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneMark {
			return nil, errDone
		}
		var event completion
		if err := json.Unmarshal(data, &event); err != nil {
			return nil, errors.Wrap(err, "decode an event")
		}
		return &event, nil
	}
	if err := r.lines.Err(); err != nil {
		return nil, classify(err)
	}
	return nil, io.EOF
}
