package ledger

import (
	"math/bits"
	"time"
)

// Latencies are kept as counts of bins with seven bits of mantissa, which is
// the resolution of an HDR histogram of two significant digits, error below 1%.
// A dense histogram takes 16 kB and would be copied whole; of the bins only
// those that changed are kept and copied. Reports put them into HDR histograms.
const (
	mantissaBits = 8
	mantissaMask = 1<<mantissaBits - 1
)

// binOf returns the bin of a duration, in microseconds.
func binOf(d time.Duration) uint16 {
	v := uint64(max(0, d.Microseconds()))
	exponent := max(0, bits.Len64(v)-mantissaBits)
	return uint16(exponent)<<mantissaBits | uint16(v>>exponent)
}

// binMiddle returns the middle of a bin, in microseconds.
func binMiddle(bin uint16) int64 {
	exponent := bin >> mantissaBits
	low := int64(bin&mantissaMask) << exponent
	return low + (int64(1)<<exponent)/2
}
