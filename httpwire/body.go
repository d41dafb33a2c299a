package httpwire

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Body reads one message body. Read returns io.EOF only if the body is complete by its
// framing. A body that is cut short ends with ErrTruncated or the error of the
// connection.
type Body struct {
	OnData    func(n int) // called for data that was read, in bytes; may be nil
	MustFrame bool        // the sender frames its bodies: without a length or chunks none is complete
	r         *bufio.Reader
	framing   Framing
	remaining int64 // remaining bytes of the body or of the current chunk
	inChunk   bool
	overhead  int64 // bytes of framing beyond those that the chunks so far explain
	err       error // returned by every later Read
}

// NewBody returns the body that follows a message head on r.
func NewBody(r *bufio.Reader, framing Framing) *Body {
	b := &Body{r: r, framing: framing, remaining: framing.Length}
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
	if b.OnData != nil && n > 0 {
		b.OnData(n)
	}
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
		return b.readUntilClose(p)
	}
}

// readUntilClose reads a body that ends when the connection is closed. A reset is not io.EOF.
func (b *Body) readUntilClose(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.MustFrame && errors.Is(err, io.EOF) {
		err = ErrTruncated
	}
	return n, err
}

func (b *Body) readSized(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.readRemaining(p)
	if err == nil && b.remaining == 0 {
		err = io.EOF
	}
	return n, err
}

// readRemaining reads at most the remaining bytes. If the connection ends before them,
// the error is ErrTruncated.
func (b *Body) readRemaining(p []byte) (int, error) {
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	b.remaining -= int64(n)
	if errors.Is(err, io.EOF) && b.remaining > 0 {
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
	n, err := b.readRemaining(p)
	if err == nil && b.remaining == 0 {
		b.inChunk = false
		err = b.readChunkEnd()
	}
	return n, err
}

// nextChunk reads the size of the next chunk. After the last chunk it skips the trailer
// and returns io.EOF.
func (b *Body) nextChunk() error {
	line, err := b.line()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	b.remaining, err = chunkSize(strings.TrimRight(size, " \t"))
	if err != nil {
		return err
	}
	b.overhead = max(0, b.overhead+int64(len(line)+2*len(crlf))-usualOverhead*b.remaining)
	if b.overhead > maxOverhead {
		return excess(http.StatusBadRequest, "the framing of the chunks is larger than the limit")
	}
	if b.remaining > 0 {
		b.inChunk = true
		return nil
	}
	return b.skipTrailer()
}

// maxChunkDigits limits the size of a chunk to 4 GiB, far above any body limit.
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

const (
	// usualOverhead is how many bytes of framing, which include the extensions, one byte of a chunk explains.
	usualOverhead = 2
	// maxOverhead limits the framing of chunks in excess of that, in bytes.
	maxOverhead = 32 << 10
	// maxTrailerLines and maxTrailerBytes limit the trailer after the last chunk. Trailer fields are dropped.
	maxTrailerLines = 32
	maxTrailerBytes = 16 << 10
)

func (b *Body) skipTrailer() error {
	size := 0
	for range maxTrailerLines {
		line, err := b.line()
		if err != nil {
			return err
		}
		if line == "" {
			return io.EOF
		}
		if size += len(line); size > maxTrailerBytes {
			break
		}
	}
	return excess(http.StatusRequestHeaderFieldsTooLarge, "the trailer is larger than the limit")
}

// readChunkEnd reads the CRLF that follows the data of a chunk.
func (b *Body) readChunkEnd() error {
	line, err := b.line()
	if err == nil && line != "" {
		err = malformed("a chunk is longer than its size")
	}
	return err
}

// line reads one line that ends in CRLF and fits the buffer of the reader.
func (b *Body) line() (string, error) {
	line, err := b.r.ReadSlice('\n')
	switch {
	case errors.Is(err, io.EOF):
		return "", ErrTruncated
	case errors.Is(err, bufio.ErrBufferFull): // not passed on: readers of the body have buffers of their own
		return "", excess(http.StatusBadRequest, "a line between chunks is larger than the limit")
	case err != nil:
		return "", err
	}
	text, ended := strings.CutSuffix(string(line), "\r\n")
	if !ended || strings.ContainsAny(text, "\r") {
		return "", malformed("a line between chunks does not end in CRLF")
	}
	return text, nil
}

// ReadAll reads the whole body, which may have at most limit bytes.
func (b *Body) ReadAll(limit int64) ([]byte, error) {
	return b.ReadAllReserving(limit, func(int64) error { return nil })
}

// firstRead is the memory used for a body before any of it has arrived, so that a peer can't
// claim much memory by stating a long body and sending nothing.
const firstRead = 4 << 10

// ReadAllReserving is like ReadAll, but calls reserve before it uses n more bytes of memory. An
// error of reserve ends the reading.
func (b *Body) ReadAllReserving(limit int64, reserve func(n int64) error) ([]byte, error) {
	if b.framing.Kind == Sized && b.framing.Length > limit {
		return nil, tooLarge()
	}
	most := limit
	if b.framing.Kind == Sized {
		most = b.framing.Length
	}
	var all []byte
	for int64(len(all)) < most {
		if len(all) == cap(all) {
			size := min(most, max(firstRead, 2*int64(cap(all))))
			if err := reserve(size - int64(cap(all))); err != nil {
				return nil, err
			}
			all = append(make([]byte, 0, size), all...)
		}
		n, err := b.Read(all[len(all):cap(all)])
		all = all[:len(all)+n]
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return all, b.expectEnd()
}

// maxPiece is the largest piece of a body that is read in pieces.
const maxPiece = 64 << 10

// ReadPieces is like ReadAllReserving, but returns the body in pieces of at most 64 KB, the memory of which can be given
// back one by one.
func (b *Body) ReadPieces(limit int64, reserve func(n int64) error) ([][]byte, error) {
	if b.framing.Kind == Sized && b.framing.Length > limit {
		return nil, tooLarge()
	}
	most := limit
	if b.framing.Kind == Sized {
		most = b.framing.Length
	}
	var pieces [][]byte
	for all := int64(0); all < most; {
		size := min(most-all, max(firstRead, all), maxPiece)
		if err := reserve(size); err != nil {
			return nil, err
		}
		piece := make([]byte, size)
		n, _ := io.ReadFull(b, piece) // a failure is kept in b.err, also one beside the last byte
		if n > 0 {
			pieces = append(pieces, piece[:n])
			all += int64(n)
		}
		if b.Complete() {
			return pieces, nil
		}
		if b.err != nil {
			return nil, b.err
		}
	}
	return pieces, b.expectEnd()
}

// expectEnd returns an error unless the body, whose data has reached its limit, ends here.
func (b *Body) expectEnd() error {
	if b.framing.Kind == Sized {
		return nil
	}
	var beyond [1]byte
	switch n, err := b.Read(beyond[:]); {
	case n > 0:
		return tooLarge()
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

func tooLarge() error {
	return &Error{Status: http.StatusRequestEntityTooLarge, Message: "the body is larger than the limit"}
}
