package control

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var (
	eventStarted = event.Define(3000, logrus.InfoLevel, "control started",
		"The control side of the instance runs. Fields: name, incarnation, address, voter.")
	eventInstalled = event.Define(3001, logrus.InfoLevel, "settings installed",
		"The instance installed a newer revision of the settings tree and admits by it.")
	eventInstallFailed = event.Define(3002, logrus.ErrorLevel, "settings not installed",
		"The instance could not install an accepted revision and stops admitting when its lease lapses. Free the disk or upgrade the instance.")
	eventLeaseLost = event.Define(3003, logrus.WarnLevel, "lease lapsed",
		"The instance got no confirmation from a majority of the voters in time and admits nothing until it does. Check the network to the voters.")
	eventLeaseGained = event.Define(3004, logrus.InfoLevel, "lease held",
		"The instance holds a lease on its settings and admits requests.")
	eventSuperseded = event.Define(3005, logrus.ErrorLevel, "another process runs under this name",
		"A newer process with the same name took over; this one admits nothing any more. Give each instance a name of its own.")
	eventInForce = event.Define(3006, logrus.InfoLevel, "settings in force",
		"Every instance that can admit has confirmed the revision, or its lease has lapsed.")
	eventLeading = event.Define(3010, logrus.InfoLevel, "leads the control group",
		"This voter was elected and has the whole log.")
	eventFollowing = event.Define(3011, logrus.InfoLevel, "no longer leads the control group",
		"Another voter leads now, or this one lost the majority.")
	eventStorageFailed = event.Define(3012, logrus.ErrorLevel, "data folder failed",
		"A write or sync of the log failed. The voter stops taking part at once, since it could not keep a promise, and takes part again when everything it holds could be written anew. Free or replace the disk.")
	eventNotMember = event.Define(3013, logrus.WarnLevel, "voter is not a member of the control group",
		"The data folder is new and the control group was founded without it, for instance after the loss of a disk. Make it a member with: celeryport voter replace.")
	eventFounded = event.Define(3014, logrus.InfoLevel, "control group founded",
		"All voters of the settings were present with new data folders and form the control group.")
	eventFounding = event.Define(3015, logrus.InfoLevel, "waits for the other voters",
		"The control group is founded once all voters of the settings answer.")
	eventApplied = event.Define(3016, logrus.InfoLevel, "settings accepted",
		"An operator's tree was accepted as a new revision. Fields: revision, base, order, version.")
	eventVoterChange = event.Define(3017, logrus.InfoLevel, "voters changed",
		"The set of voters or learners changed. Fields: voters, learners.")
	eventVoterRepair = event.Define(3018, logrus.InfoLevel, "voters repaired",
		"The leader did one step towards the wanted number of live voters. Fields: step, voters, learners.")
	eventVoterRepairRefused = event.Define(3019, logrus.WarnLevel, "repair of the voters refused",
		"The leader could not do the next step of a repair; it tries again. If it goes on, look at the voters with: celeryport voter list.")
	eventStorageBack = event.Define(3022, logrus.InfoLevel, "data folder works again",
		"All that the voter holds was written and synced anew after a failure of its data folder, and it takes part again.")
	eventSyncFailed = event.Define(3023, logrus.WarnLevel, "lost touch with the control group",
		"A sync failed after one that worked. The instance goes on with what it knows. Fields: target, error.")
	eventSyncBack = event.Define(3024, logrus.InfoLevel, "in touch with the control group",
		"A sync worked, for the first time or after a failure. Fields: leader, revision.")
	eventSeedsChanged = event.Define(3025, logrus.InfoLevel, "other seeds",
		"The process settings name other addresses to ask for the control group. Fields: seeds.")
	eventProvisional = event.Define(3026, logrus.InfoLevel, "provisional settings installed",
		"There is no leader yet; the instance serves by the newest settings that another one had applied. Fields: revision, upstreams.")
	eventRememberFailed = event.Define(3027, logrus.WarnLevel, "the fleet is not remembered",
		"Who is in the fleet could not be written to the data folder or read from it. After a restart of all instances callers wait some seconds longer. Fields: error.")
	eventUpstreamKnown = event.Define(3028, logrus.InfoLevel, "upstream appears",
		"An upstream was heard for the first time and may get calls. Fields: upstream, address, targets, sequence.")
	eventUpstreamLeaves = event.Define(3029, logrus.InfoLevel, "upstream leaves",
		"An upstream said that it takes no new calls; it gets none from now on. Fields: upstream, incarnation, address, targets, sequence.")
	eventAnnouncementRefused = event.Define(3030, logrus.WarnLevel, "announcement refused",
		"Something announced an upstream that can't be used: fields are missing or make no sense, or the settings don't name its service. One line a second at most. Find out who writes it. Fields: upstream, error, refused (in all).")
	eventVoterDetached = event.Define(3031, logrus.WarnLevel, "the voter hears no leader",
		"The voter that this instance syncs with can't reach a leader. The instance goes on with what it knows and looks for another voter. Fields: voter, revision.")
	eventPackFailed = event.Define(3032, logrus.ErrorLevel, "instances not packed",
		"The list of instances could not be compressed, a fault of the program. It is sent as it is, which takes voters longer when a fleet starts; report it. Fields: error.")
	eventEvidenceUndelivered = event.Define(3033, logrus.WarnLevel, "evidence waits for a leader",
		"Evidence about requests that crash upstreams could not be brought to a leader; it is tried again. Until then other instances may send such a request on. Fields: error, waiting.")
	eventEvidenceDropped = event.Define(3034, logrus.WarnLevel, "evidence dropped",
		"More evidence about requests that crash upstreams came than could be delivered. Many upstreams end at once, or there is no leader. Fields: dropped, waiting.")
	eventQuarantine = event.Define(3035, logrus.WarnLevel, "quarantined requests changed",
		"Requests that crash the upstreams which run them are rejected on all instances; some came or went. List them with: celeryport quarantine list. Fields: requests (how many), version.")
	eventRelayFailed = event.Define(3021, logrus.ErrorLevel, "upstreams not relayed",
		"What was heard of upstreams could not be encoded for other instances, a fault of the program. They lose sight of the upstreams; report it.")
	eventServeFailed = event.Define(3020, logrus.ErrorLevel, "control address failed",
		"The control address can't be served; the instance stops.")
)
