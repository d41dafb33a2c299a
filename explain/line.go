// Package explain collects the log lines of one call from the logs of several
// instances and explains its outcome.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is one parsed log line.
type Line struct {
	At       time.Time
	Instance string
	Event    int
	Message  string
	Fields   map[string]any
}

// maxLine is the maximum length of a line in bytes; Read fails at a longer one.
const maxLine = 1 << 20

// Read parses log lines. Text before the JSON object of a line, such as the prefix of
// a log shipper, is ignored. Lines that are truncated or not log lines are skipped and
// counted in skipped.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "read a log")
}

func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[begin:], &fields) != nil {
		return Line{}, false
	}
	number, ok := fields["event"].(float64)
	if !ok {
		return Line{}, false
	}
	line := Line{Event: int(number), Fields: fields, Instance: textOf(fields["instance"]), Message: textOf(fields["msg"])}
	if at, err := time.Parse(time.RFC3339Nano, textOf(fields["time"])); err == nil {
		line.At = at
	}
	return line, true
}

func textOf(value any) string {
	text, _ := value.(string)
	return text
}
