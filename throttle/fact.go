package throttle

import (
	"time"

	"celeryport/loadshare"
)

// Fact says which rate one incarnation of an upstream named last.
type Fact struct {
	Upstream loadshare.Key
	Rate     float64   // requests a second from all instances together; no meaning if not Named
	Named    bool      // false: it no longer names one
	At       time.Time // of the answer that said so
}

// lifetime is how long a fact counts. An upstream that gets few requests answers seldom,
// and must not be forgotten between two answers.
func (f *Fact) lifetime() time.Duration {
	if !f.Named || f.Rate <= 0 {
		return leastKept
	}
	between := time.Duration(answersKept / f.Rate * float64(time.Second))
	return min(max(leastKept, between), mostKept)
}

const (
	leastKept = 30 * time.Second
	mostKept  = 5 * time.Minute
	// answersKept is how many answers in a row may be lost, or take long, before the rate
	// is forgotten.
	answersKept = 5
)

// saysMoreThan reports whether a fact is newer and differs.
func (f *Fact) saysMoreThan(other *Fact) bool {
	return f.At.After(other.At) && (f.Named != other.Named || f.Named && f.Rate != other.Rate)
}
