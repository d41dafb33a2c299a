package httpwire

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// Guards against a message without a status that counts as a response.
func TestResponseWithoutAStatusIsNone(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 00 None", "HTTP/1.1 020 None", "HTTP/1.1 099 None", "HTTP/1.1 600 None", "HTTP/1.1 999 None",
		"HTTP/1.1 1000 None", "HTTP/1.1 2OO OK", "HTTP/1.1 -200 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 200200 OK", "HTTP/1.1 2 00 OK",
		"HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 0x2 OK",
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/3.0 200 OK", "HTTP/1.2 200 OK", "HTTP/2 200 OK", "HTTP/11 200 OK", "http/1.1 200 OK", "HTTP 200 OK", "200 OK",
		"HTTP/1.1 101 Switching Protocols", // not asked for
	} {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			reader := bufio.NewReader(strings.NewReader(before + line + "\r\nContent-Length: 0\r\n\r\n"))
			if head, err := ReadResponseHead(reader, 1<<10, http.MethodGet); err == nil {
				t.Errorf("%q: %+v", before+line, head)
			}
		}
	}
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.1 599 Unknown"} {
		if _, err := ReadResponseHead(bufio.NewReader(strings.NewReader(line+"\r\n\r\n")), 1<<10, http.MethodGet); err != nil {
			t.Errorf("%q: %v", line, err)
		}
	}
}
