package wal

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var (
	eventFailed = event.Define(3500, logrus.ErrorLevel, "write or sync of the data folder failed",
		"The disk is full or faulty. This voter stops and no longer counts towards a majority. "+
			"Free or replace the disk; with a new disk the instance joins as a new voter.")
	eventTornTail = event.Define(3501, logrus.WarnLevel, "incomplete last record truncated",
		"The process or machine stopped during a write. Nothing that was "+
			"acknowledged is lost; no action is needed.")
	eventNewIdentity = event.Define(3502, logrus.WarnLevel, "new voter identity created",
		"The data folder was empty. On the first start of an instance this is normal; "+
			"otherwise its disk was lost, and the old voter must be replaced by the new one.")
)
