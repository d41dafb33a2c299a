package httpwire

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// ResponseHead is the status line and the header fields of a response.
type ResponseHead struct {
	Status int
	Reason string
	Fields Fields
	Body   Framing
	Close  bool // the sender closes the connection after the response
}

// ReadResponseHead reads one response head of at most limit bytes. method is that of
// the request. Interim (1xx) responses are skipped, at most maxInterimHeads and limit bytes of them.
func ReadResponseHead(r *bufio.Reader, limit int, method string) (*ResponseHead, error) {
	interim := 0
	for range maxInterimHeads + 1 {
		head, size, err := readOneResponseHead(r, limit, method)
		if err != nil || head.Status >= http.StatusOK {
			return head, err
		}
		if interim += size; interim > limit {
			break
		}
	}
	return nil, excess(http.StatusBadGateway, "interim answers without a final one")
}

// maxInterimHeads limits the interim responses before a response.
const maxInterimHeads = 32

// readOneResponseHead also returns the size of the head in bytes.
func readOneResponseHead(r *bufio.Reader, limit int, method string) (*ResponseHead, int, error) {
	block, err := readHeadBlock(r, limit)
	if err != nil {
		return nil, 0, err
	}
	head, err := parseResponseHead(block, method)
	return head, len(block), err
}

func parseResponseHead(block, method string) (*ResponseHead, error) {
	statusLine, fields, err := splitHeadBlock(block)
	if err != nil {
		return nil, err
	}
	head := &ResponseHead{Fields: fields}
	var version string
	if version, head.Status, head.Reason, err = splitStatusLine(statusLine); err != nil {
		return nil, err
	}
	if head.Status == http.StatusSwitchingProtocols {
		return nil, errSwitched
	}
	if head.Body, err = responseFraming(fields, method, head.Status); err != nil {
		return nil, err
	}
	head.Close = fields.HasToken("Connection", "close") || version == "HTTP/1.0" || head.Body.Kind == UntilClose
	return head, nil
}

func splitStatusLine(line string) (version string, status int, reason string, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	if version != "HTTP/1.1" && version != "HTTP/1.0" || err != nil || len(code) != statusDigits || !isStatus(status) {
		return "", 0, "", errStatusLine
	}
	return version, status, reason, nil
}

var (
	errStatusLine = malformed("malformed status line")
	errSwitched   = malformed("a switch of protocols that was not asked for")
)

const statusDigits = 3

// isStatus reports whether a number is a status. Those outside of the five classes are invalid (RFC 9110, 15).
func isStatus(n int) bool { return n >= http.StatusContinue && n < 600 }

// CheckStatusLine returns an error if net/http has accepted a first line that states no status: it takes any number and
// any version.
func CheckStatusLine(r *http.Response) error {
	if r.ProtoMajor != 1 || r.ProtoMinor > 1 || !isStatus(r.StatusCode) {
		return errStatusLine
	}
	return nil
}

// Append appends the encoded head.
func (h *ResponseHead) Append(to []byte) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(h.Status), 10)
	to = append(to, ' ')
	reason := h.Reason
	if reason == "" {
		reason = http.StatusText(h.Status)
	}
	to = append(to, reason...)
	to = append(to, "\r\n"...)
	if h.Close {
		to = append(to, "Connection: close\r\n"...)
	}
	return appendFields(to, h.Fields, h.Body)
}

func appendFields(to []byte, fields Fields, body Framing) []byte {
	for i := range fields {
		to = append(to, fields[i].Name...)
		to = append(to, ": "...)
		to = append(to, fields[i].Value...)
		to = append(to, "\r\n"...)
	}
	switch body.Kind {
	case Sized:
		to = append(to, "Content-Length: "...)
		to = strconv.AppendInt(to, body.Length, 10)
		to = append(to, "\r\n"...)
	case Chunked:
		to = append(to, "Transfer-Encoding: chunked\r\n"...)
	}
	return append(to, "\r\n"...)
}
