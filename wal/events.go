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
	eventAwaited = event.Define(1180, logrus.WarnLevel, "waiting for the data folder",
		"The data folder can't be opened at present: the disk is full or faulty, or another process still uses the folder. "+
			"The instance tries again and does not take part before; it is stopped as usual. Fields: folder, error, waited_ms.")
	eventAvailable = event.Define(1181, logrus.InfoLevel, "data folder available",
		"The data folder was opened after a wait. Fields: folder, waited_ms.")
	eventUnusable = event.Define(1182, logrus.ErrorLevel, "data folder can't be used",
		"The data folder is damaged, no folder, or not accessible to this process, which does not pass by itself. The process ends. "+
			"Correct the path or the permissions, restore the folder, or replace this voter. Fields: folder, error.")
	eventNewIdentity = event.Define(3502, logrus.WarnLevel, "new voter identity created",
		"The data folder was empty. On the first start of an instance this is normal; "+
			"otherwise its disk was lost, and the old voter must be replaced by the new one.")
	eventHangs = event.Define(1192, logrus.WarnLevel, "data folder does not answer",
		"A call to the file system of a data folder has not returned, and what needs the folder waits for it. Check the disk. Fields: folder, waited_ms.")
	eventAnswers = event.Define(1193, logrus.InfoLevel, "data folder answers",
		"The call to the file system that did not return has returned. Fields: folder, waited_ms.")
)
