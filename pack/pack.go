// Package pack compresses settings texts. A document of 1,600 routes shrinks to
// about a tenth, and is sent to every instance, written to every voter's log and
// held in memory in that form.
package pack

import (
	"bytes"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// MaxText bounds what a packed text may unpack to; one that claims more is
// refused before it takes the memory.
const MaxText = 32 << 20

// window bounds the memory of the compressor.
const window = 1 << 20

// magic begins every packed text; no readable text begins so.
var magic = []byte{0x28, 0xb5, 0x2f, 0xfd}

var encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window), zstd.WithEncoderLevel(zstd.SpeedFastest))
})

var decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxText))
})

// Text packs a text.
func Text(text []byte) ([]byte, error) {
	e, err := encoder()
	if err != nil {
		return nil, errors.Wrap(err, "compressor")
	}
	return e.EncodeAll(text, nil), nil
}

// Unpack returns the text that was packed; one that was not is returned as it is.
func Unpack(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, magic) {
		return data, nil
	}
	d, err := decoder()
	if err != nil {
		return nil, errors.Wrap(err, "decompressor")
	}
	text, err := d.DecodeAll(data, nil)
	return text, errors.Wrap(err, "unpack a text")
}
