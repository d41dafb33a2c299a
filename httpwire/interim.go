package httpwire

import (
	"bufio"
	"net/http"
)

// SkipInterim discards the interim (1xx) responses that precede a response, and the empty lines before each, and calls
// complete, if it is not nil, after each. It leaves the head of the response to another parser, but returns an error if
// that has no status: fasthttp takes a status of zero for 200, and net/http and fasthttp accept any number and version.
func SkipInterim(r *bufio.Reader, complete func()) error {
	for range maxSkipped + 1 {
		status, err := peekStatus(r)
		switch {
		case err != nil:
			return err
		case status == http.StatusSwitchingProtocols:
			return errSwitched
		case status >= http.StatusOK:
			return nil
		}
		if err := skipHead(r); err != nil {
			return err
		}
		if complete != nil {
			complete()
		}
	}
	return excess(http.StatusBadGateway, "interim answers without a final one")
}

// maxSkipped limits the interim responses that SkipInterim discards.
const maxSkipped = 8

// peekStatus returns the status of the next response head. The reason is left to the parser of the head.
func peekStatus(r *bufio.Reader) (int, error) {
	if err := skipEmptyLines(r); err != nil {
		return 0, err
	}
	const sample = "HTTP/1.1 200 "
	start, err := r.Peek(len(sample))
	if err != nil {
		return 0, err
	}
	code, end := string(start[:len(sample)-1]), start[len(sample)-1]
	_, status, _, err := splitStatusLine(code)
	if err != nil || end != ' ' && end != '\r' && end != '\n' {
		return 0, errStatusLine
	}
	return status, nil
}

// maxEmptyLines limits the empty lines before a head, in bytes.
const maxEmptyLines = 64

func skipEmptyLines(r *bufio.Reader) error {
	for range maxEmptyLines {
		next, err := r.Peek(1)
		if err != nil || next[0] != '\r' && next[0] != '\n' {
			return err
		}
		_, _ = r.Discard(1) // it is in the buffer
	}
	return excess(http.StatusBadGateway, "empty lines without a head")
}

func skipHead(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if text := string(line); text == "\r\n" || text == "\n" {
			return nil
		}
	}
}
