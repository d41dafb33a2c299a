package httpwire

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Body reads one message body. It ends with io.EOF only when the body is
// complete by its framing; one that is cut short ends with ErrTruncated or the
// error of the connection.
type Body struct {
	r       *bufio.Reader
	framing Framing
	left    int64 // bytes left of the body, or of the present chunk
	inChunk bool
	err     error // sticky
}

// NewBody returns the body that follows a head on r.
func NewBody(r *bufio.Reader, framing Framing) *Body {
	b := &Body{r: r, framing: framing, left: framing.Length}
	if framing.Kind == NoBody {
		b.err = io.EOF
	}
	return b
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.read(p)
	b.err = err
	return n, err
}

// Complete reports whether the whole body was read.
func (b *Body) Complete() bool { return errors.Is(b.err, io.EOF) }

func (b *Body) read(p []byte) (int, error) {
	switch b.framing.Kind {
	case Sized:
		return b.readSized(p)
	case Chunked:
		return b.readChunked(p)
	default:
		return b.r.Read(p) // ends with the connection; a reset is no io.EOF
	}
}

func (b *Body) readSized(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.readLeft(p)
	if err == nil && b.left == 0 {
		err = io.EOF
	}
	return n, err
}

// readLeft reads at most what is left; the end of the connection is too early.
func (b *Body) readLeft(p []byte) (int, error) {
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= int64(n)
	if errors.Is(err, io.EOF) && b.left > 0 {
		err = ErrTruncated
	}
	return n, err
}

func (b *Body) readChunked(p []byte) (int, error) {
	if !b.inChunk {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := b.readLeft(p)
	if err == nil && b.left == 0 {
		b.inChunk = false
		err = b.endLine()
	}
	return n, err
}

// nextChunk reads the size of the next chunk and, after the last, the trailer.
func (b *Body) nextChunk() error {
	line, err := b.line()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	b.left, err = chunkSize(strings.TrimRight(size, " \t"))
	if err != nil {
		return err
	}
	if b.left > 0 {
		b.inChunk = true
		return nil
	}
	return b.trailer()
}

// maxChunkDigits bounds a chunk to 4 GiB, far above any body limit.
const maxChunkDigits = 8

func chunkSize(text string) (int64, error) {
	if text == "" || len(text) > maxChunkDigits {
		return 0, malformed("malformed chunk size")
	}
	for i := range len(text) {
		if !strings.ContainsRune("0123456789abcdefABCDEF", rune(text[i])) {
			return 0, malformed("malformed chunk size")
		}
	}
	return strconv.ParseInt(text, 16, 64)
}

// maxTrailerLines bounds what follows the last chunk; trailers are dropped.
const maxTrailerLines = 32

func (b *Body) trailer() error {
	for range maxTrailerLines {
		line, err := b.line()
		if err != nil {
			return err
		}
		if line == "" {
			return io.EOF
		}
	}
	return &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Message: "the trailer is larger than the limit"}
}

// endLine reads the line end that follows the bytes of a chunk.
func (b *Body) endLine() error {
	line, err := b.line()
	if err == nil && line != "" {
		err = malformed("a chunk is longer than its size")
	}
	return err
}

// line reads one short line that ends in CRLF.
func (b *Body) line() (string, error) {
	line, err := b.r.ReadSlice('\n')
	if errors.Is(err, io.EOF) {
		return "", ErrTruncated
	}
	if err != nil {
		return "", err
	}
	text, ended := strings.CutSuffix(string(line), "\r\n")
	if !ended || strings.ContainsAny(text, "\r") {
		return "", malformed("a line between chunks does not end in CRLF")
	}
	return text, nil
}

// ReadAll reads a whole body of at most limit bytes.
func (b *Body) ReadAll(limit int64) ([]byte, error) {
	if b.framing.Kind == Sized && b.framing.Length > limit {
		return nil, tooLarge()
	}
	var all []byte
	if b.framing.Kind == Sized {
		all = make([]byte, b.framing.Length)
		n, err := io.ReadFull(b, all)
		if err == nil || errors.Is(err, io.EOF) && int64(n) == b.framing.Length {
			return all, nil
		}
		return nil, err
	}
	all, err := io.ReadAll(io.LimitReader(b, limit+1))
	if int64(len(all)) > limit {
		return nil, tooLarge()
	}
	return all, err
}

func tooLarge() error {
	return &Error{Status: http.StatusRequestEntityTooLarge, Message: "the body is larger than the limit"}
}
