package claim

import (
	"time"

	"github.com/google/uuid"
)

// version7 is the version of UUIDs that contain a timestamp.
const version7 = 7

// createdAt returns the timestamp of a UUIDv7 key. Other keys are opaque and have
// no timestamp.
func (k Key) createdAt() (time.Time, bool) {
	id, err := uuid.Parse(k.Key)
	if err != nil || id.Version() != version7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}
