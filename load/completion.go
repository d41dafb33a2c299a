package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"celeryport/verdict"
)

// completion is a complete JSON answer, or one event of a streamed answer.
type completion struct {
	ID       string     `json:"id"`
	Choices  []choice   `json:"choices"`
	Metadata *metadata  `json:"celeryport"`
	Error    *errorBody `json:"error"`
}

type choice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// metadata is the information about the request in the last event of a stream.
type metadata struct {
	Verdict   verdict.Verdict `json:"verdict"`
	RequestID string          `json:"request_id"`
}

// errorBody is the error object of a refusal or of a failed stream.
type errorBody struct {
	Type       string          `json:"type"`
	Message    string          `json:"message"`
	Verdict    verdict.Verdict `json:"verdict"`
	RetryAfter int64           `json:"retry_after_ms"`
}

const (
	maxEventBytes = 4 << 20
	dataPrefix    = "data:"
	doneMarker    = "[DONE]"
)

// errStreamDone is returned after the marker that ends a stream.
var errStreamDone = errors.New("done")

// eventReader reads server-sent events.
type eventReader struct {
	lines *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &eventReader{lines: lines}
}

// next returns the next event, errStreamDone after the last one, or io.EOF if the
// stream ended without the end marker.
func (r *eventReader) next() (*completion, error) {
	for r.lines.Scan() {
		line := bytes.TrimSpace(r.lines.Bytes())
		data, isData := bytes.CutPrefix(line, []byte(dataPrefix))
		if !isData {
			continue // a keep-alive comment or a blank line
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneMarker {
			return nil, errStreamDone
		}
		var event completion
		if err := json.Unmarshal(data, &event); err != nil {
			return nil, errors.Wrap(err, "decode an event")
		}
		return &event, nil
	}
	if err := r.lines.Err(); err != nil {
		return nil, err
	}
	return nil, io.EOF
}
