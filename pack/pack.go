// Package pack compresses settings texts. A document of 1,600 routes is compressed to
// about a tenth; it is sent to instances, written to voters' logs and kept in memory in
// compressed form.
package pack

import (
	"bytes"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// MaxText bounds the unpacked size of a text. Larger texts are rejected before memory
// is allocated for them.
const MaxText = 32 << 20

// window is the compression window in bytes, which bounds the compressor's memory.
const window = 1 << 20

// magic is the prefix of all packed texts (the zstd magic number), which is not valid UTF-8.
var magic = []byte{0x28, 0xb5, 0x2f, 0xfd}

var encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window), zstd.WithEncoderLevel(zstd.SpeedFastest))
})

var decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxText))
})

// Text compresses a text.
func Text(text []byte) ([]byte, error) {
	e, err := encoder()
	if err != nil {
		return nil, errors.Wrap(err, "compressor")
	}
	return e.EncodeAll(text, nil), nil
}

// Unpack reverses Text. Data that is not packed is returned unchanged.
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
