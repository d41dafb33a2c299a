package httpwire

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// readHeadBlock reads up to and including the empty line that ends a message head, at
// most limit bytes. Every line must end in CRLF: another reader of the same connection
// that also accepts a bare LF would see different messages.
func readHeadBlock(r *bufio.Reader, limit int) (string, error) {
	var block []byte
	for {
		line, err := r.ReadSlice('\n')
		if len(block)+len(line) > limit {
			return "", excess(http.StatusRequestHeaderFieldsTooLarge, "the header is larger than the limit")
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if len(block) == 0 && len(line) == 0 {
				return "", err
			}
			return "", fmt.Errorf("%w: %w", ErrTruncated, err) // err tells a time-out from an end
		}
		block = append(block, line...)
		if err != nil {
			continue
		}
		if !bytes.HasSuffix(block, crlf) {
			return "", malformed("a line of the header does not end in CRLF")
		}
		if len(line) == len(crlf) && len(block) > len(crlf) && endsWithCRLF(block[:len(block)-len(crlf)]) {
			return string(block[:len(block)-len(crlf)]), nil
		}
		if len(block) == len(crlf) {
			block = block[:0] // an empty line before the start line is ignored (RFC 9112, 2.2)
			limit -= len(crlf)
		}
	}
}

var crlf = []byte("\r\n")

func endsWithCRLF(block []byte) bool { return bytes.HasSuffix(block, crlf) }

// splitHeadBlock separates the start line from the header fields.
func splitHeadBlock(block string) (startLine string, fields Fields, err error) {
	startLine, rest, _ := strings.Cut(block, "\r\n")
	if strings.ContainsAny(startLine, "\r\n\x00") {
		return "", nil, malformed("the first line contains a control character")
	}
	fields = make(Fields, 0, strings.Count(rest, "\n"))
	for rest != "" {
		var line string
		line, rest, _ = strings.Cut(rest, "\r\n")
		field, err := parseField(line)
		if err != nil {
			return "", nil, err
		}
		fields = append(fields, field)
	}
	return startLine, fields, nil
}

func parseField(line string) (Field, error) {
	name, value, found := strings.Cut(line, ":")
	if !found || !isToken(name) {
		return Field{}, malformed("a header field has no proper name")
	}
	if strings.ContainsAny(value, "\r\n\x00") {
		return Field{}, malformed("a header field contains a control character")
	}
	return Field{Name: name, Value: strings.Trim(value, " \t")}, nil
}

// isToken reports whether s is a token (RFC 9110, 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
	}
}
