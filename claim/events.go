package claim

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// The events of a voter are logged by its driver, since the voter does no I/O.
var (
	// EventAbstains is logged when a voter begins to copy the votes of others.
	EventAbstains = event.Define(3800, logrus.WarnLevel, "voter abstains from claims until it has copied the votes of others",
		"The voters changed, or this one is new. Requests that may not be repeated are refused while too few voters vote; "+
			"if it lasts, look for voters of the previous set that do not answer.")
	// EventVotes is logged when a voter votes again.
	EventVotes = event.Define(3801, logrus.InfoLevel, "voter votes on claims",
		"The votes are complete. No action is needed.")
	// EventFull is logged when a voter holds as many votes as it may.
	EventFull = event.Define(3802, logrus.ErrorLevel, "voter is full and abstains from new claims",
		"More keys were claimed within one key lifetime than the voter's limit. "+
			"Requests that may not be repeated are refused as not run. Raise the limit or shorten the lifetime of keys.")
)
