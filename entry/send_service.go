package entry

import (
	"net/http"

	"celeryport/dispatch"
	"celeryport/upstream/client"
)

// maxServiceAnswer bounds the answer of a plain service in bytes.
const maxServiceAnswer = 8 << 20

func (s *sender) callService(e *exchange, action *dispatch.Action) dispatch.Outcome {
	part := leadOf(action.Placement)
	answer, failed := s.options.Client.Service(e.ctx, &client.ServiceCall{
		Address:     part.Address,
		Incarnation: part.Incarnation,
		Request:     e.request.ID,
		Attempt:     action.Attempt,
		Method:      e.call.method,
		Path:        e.call.path,
		ContentType: e.call.contentType,
		Body:        e.call.body,
		Remaining:   e.request.Remaining(s.options.Clock.Now()),
		Key:         e.request.Key,
		MaxAnswer:   maxServiceAnswer,
	})
	if failed != nil {
		return dispatch.Outcome{Err: failed}
	}
	e.setService(answer)
	return dispatch.Outcome{Failed: saysFailed(answer.Status)}
}

// saysFailed reports whether an answer with this status says that the service failed. One that says
// that the time did not suffice shows nothing of the service.
func saysFailed(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout
}
