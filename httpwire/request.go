package httpwire

import (
	"bufio"
	"strings"
)

// RequestHead is the request line and the header fields of a request.
type RequestHead struct {
	Method string
	Target string // raw, as sent by the client, including the query
	Fields Fields
	Body   Framing
	Close  bool // the client wants the connection closed after the response
}

// ReadRequestHead reads one request head of at most limit bytes. The error is io.EOF
// if the connection ended before the first byte.
func ReadRequestHead(r *bufio.Reader, limit int) (*RequestHead, error) {
	block, err := readHeadBlock(r, limit)
	if err != nil {
		return nil, err
	}
	requestLine, fields, err := splitHeadBlock(block)
	if err != nil {
		return nil, err
	}
	head := &RequestHead{Fields: fields}
	var version string
	if head.Method, head.Target, version, err = splitRequestLine(requestLine); err != nil {
		return nil, err
	}
	if fields.Count("Host") != 1 {
		return nil, malformed("a request needs exactly one Host field")
	}
	if head.Body, err = requestFraming(fields); err != nil {
		return nil, err
	}
	if version == "HTTP/1.0" && head.Body.Kind == Chunked {
		return nil, malformed("HTTP/1.0 knows no chunks")
	}
	head.Close = fields.HasToken("Connection", "close") || version == "HTTP/1.0"
	return head, nil
}

func splitRequestLine(line string) (method, target, version string, err error) {
	method, rest, _ := strings.Cut(line, " ")
	target, version, found := strings.Cut(rest, " ")
	if !found || !isToken(method) || !isOriginForm(target) {
		return "", "", "", malformed("malformed request line")
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return "", "", "", malformed("not HTTP/1.1")
	}
	return method, target, version, nil
}

// isOriginForm reports whether target is in origin form and free of characters that
// another reader could parse differently. Other forms are not supported.
func isOriginForm(target string) bool {
	if !strings.HasPrefix(target, "/") {
		return false
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] == 0x7f {
			return false
		}
	}
	return true
}

// Path returns the target without the query.
func (h *RequestHead) Path() string {
	path, _, _ := strings.Cut(h.Target, "?")
	return path
}

// Append appends the encoded head.
func (h *RequestHead) Append(to []byte) []byte {
	to = append(to, h.Method...)
	to = append(to, ' ')
	to = append(to, h.Target...)
	to = append(to, " HTTP/1.1\r\n"...)
	return appendFields(to, h.Fields, h.Body)
}
