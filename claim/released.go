package claim

import "time"

const (
	// releaseMemory is for how long a voter remembers a release at least. It is longer than requests to it last.
	releaseMemory = time.Minute
	maxReleases   = 20_000 // per voter; further ones are not remembered
)

// release is a holder that has released a key.
type release struct {
	key    Key
	holder Holder
}

// releases are the recent releases of a voter, also those of holders that did not have its vote. A delayed request of
// such a holder must not get it later: nobody would release it again. They are not stored, since requests to a voter end
// with its process.
type releases map[release]time.Time

func (r releases) add(now time.Time, k Key, h Holder) {
	if len(r) < maxReleases {
		r[release{k, h}] = now
	}
}

func (r releases) has(k Key, h Holder) bool {
	_, found := r[release{k, h}]
	return found
}

// expire drops releases that are old, or from before the clock was set back.
func (r releases) expire(now time.Time) {
	for old, at := range r {
		if age := now.Sub(at); age > releaseMemory || age < 0 {
			delete(r, old)
		}
	}
}
