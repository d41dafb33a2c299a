package throttle

import (
	"time"

	"celeryport/loadshare"
)

// Fact is the most recent rate that one incarnation of an upstream specified.
type Fact struct {
	Upstream loadshare.Key
	Rate     float64   // requests per second from all instances together; undefined if not Named
	Named    bool      // false if the upstream no longer specifies a rate
	At       time.Time // time of the answer that the fact is taken from
}

// lifetime returns how long the fact is valid. An upstream that receives few
// requests answers rarely, and its rate must not expire between two answers.
func (f *Fact) lifetime() time.Duration {
	if !f.Named || f.Rate <= 0 {
		return minLifetime
	}
	between := time.Duration(answersPerLifetime / f.Rate * float64(time.Second))
	return min(max(minLifetime, between), maxLifetime)
}

const (
	minLifetime = 30 * time.Second
	maxLifetime = 5 * time.Minute
	// answersPerLifetime is how many consecutive answers may be lost or delayed
	// before the rate expires.
	answersPerLifetime = 5
)

// supersedes reports whether f is newer than other and differs from it.
func (f *Fact) supersedes(other *Fact) bool {
	return f.At.After(other.At) && (f.Named != other.Named || f.Named && f.Rate != other.Rate)
}
