package burn

import (
	"celeryport/ledger"
	"celeryport/verdict"
)

// isCallerFault reports whether a reason is the responsibility of the caller or the
// effect of a limit that operators set for its organisation. Such requests don't
// count against the error budget: an organisation that sends invalid requests must
// not exhaust the budget of its class, and a limit that works as intended must not
// raise an alert. Everything that the fleet failed to serve counts, including
// refusals because of a full queue, or because the organisation exceeds its share while
// the fleet is full.
func isCallerFault(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonBadRequest, verdict.ReasonUnauthorized, verdict.ReasonNotFound,
		verdict.ReasonBodyTooLarge, verdict.ReasonLimit, verdict.ReasonDuplicate,
		verdict.ReasonKeyExpired, verdict.ReasonCallerLeft:
		return true
	}
	return false
}

// causeOf describes why the requests of a counter miss an objective.
func causeOf(f ledger.Field) string {
	switch f.Kind() {
	case ledger.KindLate:
		return "late answer"
	case ledger.KindFirstTokenMissed:
		return "late first token"
	case ledger.KindSlowdownMissed:
		return "slowed down"
	case ledger.KindRefused:
		return "refused: " + string(f.Reason())
	}
	return "failed: " + string(f.Reason())
}
