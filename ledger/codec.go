package ledger

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// mostDecoded bounds what one message may expand to: a damaged or hostile one
// must not take the memory of a voter.
const mostDecoded = 256 << 20

// packers and unpackers are kept: each has tables of some hundred kilobytes,
// which would cost more to make than to use.
var (
	packers   = sync.Pool{New: func() any { return newPacker() }}
	unpackers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

func newPacker() *flate.Writer {
	packer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("ledger: a fixed compression level was refused: " + err.Error())
	}
	return packer
}

// encode writes a value as it is stored and copied. Copies repeat names and
// fields for each series, so packing takes most of their size off.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	packer := packers.Get().(*flate.Writer)
	defer packers.Put(packer)
	packer.Reset(&b)
	err := gob.NewEncoder(packer).Encode(v)
	if err = errors.CombineErrors(err, packer.Close()); err != nil {
		return nil, errors.Wrap(err, "encoding ledger counters")
	}
	return b.Bytes(), nil
}

func decode(encoded []byte, v any) error {
	unpacker := unpackers.Get().(io.ReadCloser)
	defer unpackers.Put(unpacker)
	if err := unpacker.(flate.Resetter).Reset(bytes.NewReader(encoded), nil); err != nil {
		return errors.Wrap(err, "unpacking ledger counters")
	}
	if err := gob.NewDecoder(io.LimitReader(unpacker, mostDecoded)).Decode(v); err != nil {
		return errors.Wrap(err, "decoding ledger counters")
	}
	return nil
}
