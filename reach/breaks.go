package reach

import (
	"time"

	"celeryport/loadshare"
)

const (
	// breakWindow is how long a connection that has ended counts. A path that ends its connections does so
	// with their next packet: the events of a stream follow each other in some tens of milliseconds.
	breakWindow = 100 * time.Millisecond
	// doubtfulBreaks is how many upstreams have to end connections within the window before it is open
	// whether they or the paths failed. One that ends is no reason to doubt the paths.
	doubtfulBreaks = 2
)

// Breaks tracks the upstreams of one service that ended connections with calls under way since an upstream last
// answered. The zero value knows of none. It is not safe for concurrent use.
type Breaks struct {
	at map[loadshare.Key]time.Time
}

// Ended records that an upstream ended a connection.
func (b *Breaks) Ended(now time.Time, key loadshare.Key) {
	if b.at == nil {
		b.at = map[loadshare.Key]time.Time{}
	}
	b.at[key] = now
}

// Answered records an answer and reports whether any connection counted as ended until then.
func (b *Breaks) Answered() bool {
	ended := len(b.at) > 0
	clear(b.at)
	return ended
}

// Doubtful reports whether it is open if the upstreams or the paths failed.
func (b *Breaks) Doubtful(now time.Time) bool {
	for key, at := range b.at {
		if now.Sub(at) >= breakWindow {
			delete(b.at, key)
		}
	}
	return len(b.at) >= doubtfulBreaks
}
