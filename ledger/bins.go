package ledger

import (
	"math/bits"
	"time"
)

// Latencies are counted in bins with seven bits of mantissa after the leading one bit,
// which mantissaBits includes. This is the resolution of an HDR histogram with two
// significant digits (error below 1%). A dense histogram takes 16 kB and would have to be
// copied in full, whereas only non-empty bins are stored and only changed bins are copied.
// Reports load the bins into HDR histograms.
const (
	mantissaBits = 8
	mantissaMask = 1<<mantissaBits - 1
)

// binOf returns the bin of a duration, which is counted in microseconds.
func binOf(d time.Duration) uint16 {
	v := uint64(max(0, d.Microseconds()))
	exponent := max(0, bits.Len64(v)-mantissaBits)
	return uint16(exponent)<<mantissaBits | uint16(v>>exponent)
}

// binMidpoint returns the midpoint of a bin, in microseconds.
func binMidpoint(bin uint16) int64 {
	exponent := bin >> mantissaBits
	low := int64(bin&mantissaMask) << exponent
	return low + (int64(1)<<exponent)/2
}
