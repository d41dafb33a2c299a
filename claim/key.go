package claim

import (
	"time"

	"github.com/google/uuid"
)

// version7 is the version of UUIDs that carry their time.
const version7 = 7

// madeAt returns the time that a UUIDv7 key carries. Other keys are opaque.
func (k Key) madeAt() (time.Time, bool) {
	id, err := uuid.Parse(k.Key)
	if err != nil || id.Version() != version7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}
