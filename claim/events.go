package claim

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// Events of a voter. They are logged by its driver, since the voter does no I/O.
var (
	// EventAbstains is logged when a voter starts to copy the votes of others.
	EventAbstains = event.Define(3800, logrus.WarnLevel, "voter abstains from claims until it has copied the votes of other voters",
		"The set of voters changed, or this voter is new. Non-repeatable requests are rejected while too few voters vote; "+
			"if this persists, check for voters of the previous set that do not respond.")
	// EventVotes is logged when a voter resumes voting.
	EventVotes = event.Define(3801, logrus.InfoLevel, "voter resumed voting on claims",
		"The copy of the votes is complete. No action is needed.")
	// EventFull is logged when a voter stores the maximum number of votes.
	EventFull = event.Define(3802, logrus.ErrorLevel, "vote table is full; voter abstains from new claims",
		"More keys were claimed within one key lifetime than the voter's limit. "+
			"Non-repeatable requests are rejected as not run. Raise the limit or shorten the lifetime of keys.")
)
