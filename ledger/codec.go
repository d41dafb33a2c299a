package ledger

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxDecodedBytes bounds the decompressed size of one message, so that a corrupt
// or malicious message can't exhaust the memory of a voter.
const maxDecodedBytes = 256 << 20

// Compressors and decompressors are pooled, because each allocates tables of
// several hundred kilobytes and allocating these costs more than using them.
var (
	compressors   = sync.Pool{New: func() any { return newCompressor() }}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

func newCompressor() *flate.Writer {
	compressor, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("ledger: constant compression level rejected: " + err.Error())
	}
	return compressor
}

// encode returns a value in the compressed form in which it is stored and copied.
// Copies repeat names and fields for each series, so they compress well.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&b)
	err := gob.NewEncoder(compressor).Encode(v)
	if err = errors.CombineErrors(err, compressor.Close()); err != nil {
		return nil, errors.Wrap(err, "encoding ledger counters")
	}
	return b.Bytes(), nil
}

func decode(encoded []byte, v any) error {
	decompressor := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(decompressor)
	if err := decompressor.(flate.Resetter).Reset(bytes.NewReader(encoded), nil); err != nil {
		return errors.Wrap(err, "unpacking ledger counters")
	}
	if err := gob.NewDecoder(io.LimitReader(decompressor, maxDecodedBytes)).Decode(v); err != nil {
		return errors.Wrap(err, "decoding ledger counters")
	}
	return nil
}
