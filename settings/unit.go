package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// suffix is a unit after a number.
type suffix struct {
	text  string
	scale int64
}

const (
	kilo = 1000
	mega = 1000 * kilo
	giga = 1000 * mega
)

// countSuffixes are the units of counts, sizeSuffixes those of bytes. Longer units
// come first, since "MB" also ends in "B".
var (
	countSuffixes = []suffix{{"k", kilo}, {"M", mega}}
	sizeSuffixes  = []suffix{{"kB", kilo}, {"MB", mega}, {"GB", giga}, {"B", 1}}
)

// duration accepts a Go duration between two bounds.
func duration(minimum, maximum time.Duration) value[time.Duration] {
	return value[time.Duration]{
		allowed: fmt.Sprintf("a duration such as 250ms, 30s or 2h, from %s to %s", minimum, maximum),
		parse: func(text string) (time.Duration, error) {
			d, err := time.ParseDuration(text)
			if err != nil || d < minimum || d > maximum {
				return 0, errNotAllowed
			}
			return d, nil
		},
	}
}

// count accepts a number of tokens, requests or similar between two bounds.
func count(minimum, maximum int) value[int] {
	return value[int]{
		allowed: fmt.Sprintf("a count such as 500, 4k or 1M, from %d to %d", minimum, maximum),
		parse: func(text string) (int, error) {
			n, err := parseScaled(text, countSuffixes, false)
			if err != nil || n < int64(minimum) || n > int64(maximum) {
				return 0, errNotAllowed
			}
			return int(n), nil
		},
	}
}

// countLimit accepts a limit: 0, which states none, or a count between two bounds.
func countLimit(minimum, maximum int) value[int] {
	counts := count(0, maximum)
	return value[int]{
		allowed: fmt.Sprintf("a count such as 500 or 4k, from %d to %d, or 0 for none", minimum, maximum),
		parse: func(text string) (int, error) {
			n, err := counts.parse(text)
			if err != nil || n > 0 && n < minimum {
				return 0, errNotAllowed
			}
			return n, nil
		},
	}
}

// fractionalCount accepts a count that may be fractional, such as a share of a larger one.
func fractionalCount(maximum float64) value[float64] {
	return value[float64]{
		allowed: fmt.Sprintf("a count such as 500, 4k or 34.5, from 0 to %.0f", maximum),
		parse: func(text string) (float64, error) {
			digits, scale := cutSuffix(text, countSuffixes)
			n, err := parseNumber(digits, 0, maximum/float64(scale))
			return n * float64(scale), err
		},
	}
}

// rate accepts a count per second, which may be fractional.
func rate(maximum float64) value[float64] {
	return value[float64]{
		allowed: fmt.Sprintf("a rate a second such as 500, 4k or 1.5M, from 0 to %.0f", maximum),
		parse: func(text string) (float64, error) {
			digits, scale := cutSuffix(text, countSuffixes)
			n, err := parseNumber(digits, 0, maximum/float64(scale))
			return n * float64(scale), err
		},
	}
}

// size accepts a number of bytes between two bounds.
func size(minimum, maximum int64) value[int64] {
	return value[int64]{
		allowed: fmt.Sprintf("a size such as 512kB or 64MB, from %d to %d bytes", minimum, maximum),
		parse: func(text string) (int64, error) {
			n, err := parseScaled(text, sizeSuffixes, true)
			if err != nil || n < minimum || n > maximum {
				return 0, errNotAllowed
			}
			return n, nil
		},
	}
}

// sizeLimit accepts a limit in bytes, which may be fractional in its unit: 0, which states none, or
// a number between two bounds.
func sizeLimit(minimum, maximum int64) value[int64] {
	return value[int64]{
		allowed: fmt.Sprintf("a size such as 512MB or 1.5GB, from %d to %d bytes, or 0B for none", minimum, maximum),
		parse: func(text string) (int64, error) {
			digits, scale := cutSuffix(text, sizeSuffixes)
			if digits == text {
				return 0, errNotAllowed
			}
			n, err := parseNumber(digits, 0, float64(maximum)/float64(scale))
			bytes := int64(n * float64(scale))
			if err != nil || n > 0 && bytes < minimum {
				return 0, errNotAllowed
			}
			return bytes, nil
		},
	}
}

// parseScaled parses digits with a unit, which is optional unless required is set.
func parseScaled(text string, suffixes []suffix, required bool) (int64, error) {
	digits, scale := cutSuffix(text, suffixes)
	if required && digits == text {
		return 0, errNotAllowed
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 || n > math.MaxInt64/scale {
		return 0, errNotAllowed
	}
	return n * scale, nil
}

func cutSuffix(text string, suffixes []suffix) (digits string, scale int64) {
	for _, s := range suffixes {
		if before, found := strings.CutSuffix(text, s.text); found {
			return before, s.scale
		}
	}
	return text, 1
}
