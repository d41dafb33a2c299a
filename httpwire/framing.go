package httpwire

import (
	"net/http"
	"strconv"
	"strings"
)

// FramingKind is the way in which the end of a body is determined.
type FramingKind uint8

const (
	// NoBody is a message without a body.
	NoBody FramingKind = iota
	// Sized is a body with a Content-Length.
	Sized
	// Chunked is a body in chunks, which ends with an empty one.
	Chunked
	// UntilClose is a response body that ends when the connection is closed.
	UntilClose
)

// Framing describes how a body is delimited.
type Framing struct {
	Kind   FramingKind
	Length int64 // in bytes, if Sized
}

func requestFraming(fields Fields) (Framing, error) {
	chunked, err := isChunked(fields)
	if err != nil {
		return Framing{}, err
	}
	length, sized, err := contentLength(fields)
	switch {
	case err != nil:
		return Framing{}, err
	case chunked && sized:
		return Framing{}, malformed("a body with a length and in chunks")
	case chunked:
		return Framing{Kind: Chunked}, nil
	case sized:
		return Framing{Kind: Sized, Length: length}, nil
	default:
		return Framing{}, nil
	}
}

func responseFraming(fields Fields, method string, status int) (Framing, error) {
	if method == http.MethodHead || status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified {
		return Framing{}, nil
	}
	framing, err := requestFraming(fields)
	if err == nil && framing.Kind == NoBody {
		framing.Kind = UntilClose
	}
	return framing, err
}

func isChunked(fields Fields) (bool, error) {
	switch fields.Count("Transfer-Encoding") {
	case 0:
		return false, nil
	case 1:
		if strings.EqualFold(fields.Get("Transfer-Encoding"), "chunked") {
			return true, nil
		}
	}
	return false, &Error{Status: http.StatusNotImplemented, Message: "a transfer coding other than chunked"}
}

// contentLength parses Content-Length. It accepts digits only: programs disagree about
// signs, whitespace and lists of equal lengths.
func contentLength(fields Fields) (length int64, sized bool, err error) {
	switch fields.Count("Content-Length") {
	case 0:
		return 0, false, nil
	case 1:
	default:
		return 0, false, malformed("more than one Content-Length")
	}
	text := fields.Get("Content-Length")
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return 0, false, malformed("malformed Content-Length")
		}
	}
	length, err = strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, false, malformed("malformed Content-Length")
	}
	return length, true, nil
}
