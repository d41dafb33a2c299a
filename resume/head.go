package resume

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// eventStream is the media type of a stream.
const eventStream = "text/event-stream"

// Head is what the head of a run states.
type Head struct {
	Status int
	Type   string // of its content, empty if not stated
}

// usualHead stands for the head of a first run that another instance received and does not state.
var usualHead = Head{Status: http.StatusOK, Type: eventStream}

// continues returns why a run with this head does not go on with a stream that began with another head, nil if it may.
func (h Head) continues(first Head) error {
	switch {
	case h.Status != first.Status:
		return errors.Wrapf(ErrNoContinuation, "status %d after %d", h.Status, first.Status)
	case h.Type != "" && mediaType(h.Type) != eventStream && mediaType(h.Type) != mediaType(first.Type):
		return errors.Wrapf(ErrNoContinuation, "content of type %q", mediaType(h.Type))
	default:
		return nil
	}
}

// mediaType returns a content type without its parameters.
func mediaType(text string) string {
	name, _, _ := strings.Cut(text, ";")
	return strings.ToLower(strings.TrimSpace(name))
}
