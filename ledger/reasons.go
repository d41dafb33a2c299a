package ledger

import "celeryport/verdict"

// numberedReasons assigns each reason the number under which it is stored and
// copied, its index. Add new reasons at the end, up to maxReasons in total, and
// never reorder them.
var numberedReasons = []verdict.Reason{
	reasonOther,
	verdict.ReasonBadRequest,
	verdict.ReasonUnauthorized,
	verdict.ReasonNotFound,
	verdict.ReasonBodyTooLarge,
	verdict.ReasonTooLong,
	verdict.ReasonDeadline,
	verdict.ReasonShare,
	verdict.ReasonLimit,
	verdict.ReasonQueueFull,
	verdict.ReasonNoUpstream,
	verdict.ReasonDraining,
	verdict.ReasonNoLease,
	verdict.ReasonNoQuorum,
	verdict.ReasonDuplicate,
	verdict.ReasonKeyExpired,
	verdict.ReasonUpstream,
	verdict.ReasonTimeout,
	verdict.ReasonCallerLeft,
	verdict.ReasonRetryBudget,
	verdict.ReasonInternal,
	verdict.ReasonConflict,
	verdict.ReasonNotLeader,
	verdict.ReasonStorageFailed,
}

const (
	// reasonOther replaces a reason that has no number.
	reasonOther verdict.Reason = "other"
	maxReasons                 = 1 << (8 - verdictBits)
)

var reasonNumbers = numberReasons()

func numberReasons() map[verdict.Reason]uint8 {
	numbers := map[verdict.Reason]uint8{}
	for i, reason := range numberedReasons {
		numbers[reason] = uint8(i)
	}
	return numbers
}

func reasonNumber(reason verdict.Reason) uint8 { return reasonNumbers[reason] }

func reasonOf(number uint8) verdict.Reason {
	if int(number) >= len(numberedReasons) {
		return reasonOther
	}
	return numberedReasons[number]
}
