package burn

import (
	"celeryport/ledger"
	"celeryport/verdict"
)

// callersOwn reports whether a reason lies with the caller or with a limit that
// operators set for its organisation. Such ends leave the budget alone: an
// organisation that sends nonsense must not use up the budget of its class, nor
// may a limit that works as it should wake anybody. Whatever the fleet could not
// do, a full queue or a share included, burns.
func isCallerFault(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonBadRequest, verdict.ReasonUnauthorized, verdict.ReasonNotFound,
		verdict.ReasonBodyTooLarge, verdict.ReasonLimit, verdict.ReasonDuplicate,
		verdict.ReasonKeyExpired, verdict.ReasonCallerLeft:
		return true
	}
	return false
}

// causeOf names why a counter misses an objective.
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
