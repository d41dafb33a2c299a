package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// suffix is a unit written behind a number.
type suffix struct {
	text  string
	scale int64
}

const (
	kilo = 1000
	mega = 1000 * kilo
	giga = 1000 * mega
)

// countSuffixes are the units of token counts; sizeSuffixes those of bytes. The
// longer ones come first, since "MB" also ends in "B".
var (
	countSuffixes = []suffix{{"k", kilo}, {"M", mega}}
	sizeSuffixes  = []suffix{{"kB", kilo}, {"MB", mega}, {"GB", giga}, {"B", 1}}
)

// duration is a Go duration between two bounds.
func duration(least, most time.Duration) value[time.Duration] {
	return value[time.Duration]{
		allowed: fmt.Sprintf("a duration such as 250ms, 30s or 2h, from %s to %s", least, most),
		parse: func(text string) (time.Duration, error) {
			d, err := time.ParseDuration(text)
			if err != nil || d < least || d > most {
				return 0, errNotAllowed
			}
			return d, nil
		},
	}
}

// count is a number of tokens, requests or the like between two bounds.
func count(least, most int) value[int] {
	return value[int]{
		allowed: fmt.Sprintf("a count such as 500, 4k or 1M, from %d to %d", least, most),
		parse: func(text string) (int, error) {
			n, err := parseScaled(text, countSuffixes, false)
			if err != nil || n < int64(least) || n > int64(most) {
				return 0, errNotAllowed
			}
			return int(n), nil
		},
	}
}

// rate is a count for each second, which need not be whole.
func rate(most float64) value[float64] {
	return value[float64]{
		allowed: fmt.Sprintf("a rate a second such as 500, 4k or 1.5M, from 0 to %.0f", most),
		parse: func(text string) (float64, error) {
			digits, scale := cutSuffix(text, countSuffixes)
			n, err := parseNumber(digits, 0, most/float64(scale))
			return n * float64(scale), err
		},
	}
}

// size is a number of bytes between two bounds.
func size(least, most int64) value[int64] {
	return value[int64]{
		allowed: fmt.Sprintf("a size such as 512kB or 64MB, from %d to %d bytes", least, most),
		parse: func(text string) (int64, error) {
			n, err := parseScaled(text, sizeSuffixes, true)
			if err != nil || n < least || n > most {
				return 0, errNotAllowed
			}
			return n, nil
		},
	}
}

// parseScaled reads digits with a unit; the unit may be left out unless it is
// required.
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
