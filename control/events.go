package control

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var (
	eventStarted = event.Define(3000, logrus.InfoLevel, "control started",
		"Control has started on the instance. Fields: name, incarnation, address, voter.")
	eventInstalled = event.Define(3001, logrus.InfoLevel, "settings installed",
		"The instance installed a newer revision of the settings tree and admits requests by it.")
	eventInstallFailed = event.Define(3002, logrus.ErrorLevel, "settings not installed",
		"The instance could not install an accepted revision and stops admitting requests when its lease expires. Free the disk or upgrade the instance.")
	eventLeaseLost = event.Define(3003, logrus.WarnLevel, "lease expired",
		"The instance was not confirmed by a majority of the voters in time and rejects requests until it is. Check the network to the voters.")
	eventLeaseGained = event.Define(3004, logrus.InfoLevel, "lease gained",
		"The instance holds a lease on its settings and admits requests.")
	eventSuperseded = event.Define(3005, logrus.ErrorLevel, "another process uses this name",
		"A newer process with the same name has taken over; this one no longer admits requests. Give each instance a unique name.")
	eventInForce = event.Define(3006, logrus.InfoLevel, "settings in force",
		"Every instance has confirmed the revision, or its lease has expired.")
	eventElected = event.Define(3010, logrus.InfoLevel, "elected leader of the control group",
		"This voter was elected and has applied an entry of its own term.")
	eventLeadershipLost = event.Define(3011, logrus.InfoLevel, "no longer leads the control group",
		"Another voter leads now, or this voter lost contact with the majority. Fields: term (that it led), current_term (higher: another voter called an election), leader (control address, if known).")
	eventStorageFailed = event.Define(3012, logrus.ErrorLevel, "data folder failed",
		"A write or sync of the log failed. The voter stops taking part at once, because it cannot guarantee that what it acknowledges is stored, and resumes after all of its state has been rewritten. Free disk space or replace the disk.")
	eventNotMember = event.Define(3013, logrus.WarnLevel, "voter is not a member of the control group",
		"The data folder is new and the control group was founded without it, for instance after the loss of a disk. Make it a member with: celeryport voter replace.")
	eventFounded = event.Define(3014, logrus.InfoLevel, "control group founded",
		"The voters of the settings have agreed on the configuration of the control group, and this voter takes part. Voters that never answered are named by their address only, until leaders replace them. Fields: id, voters.")
	eventFounding = event.Define(3015, logrus.InfoLevel, "waiting for the other voters",
		"The control group is founded once all voters of the settings answer. Where leaders maintain the voters automatically, it is founded some seconds later without a minority that does not answer.")
	eventFoundingWaits = event.Define(1190, logrus.WarnLevel, "control group not founded yet",
		"This voter still waits for the founding of the control group; no instance accepts settings until then. Start the voters that are missing, or start all voters with settings that name others. Fields: missing (why each voter did not answer, by control address; empty: all answer, and the founder is awaited), founder (control address of the voter that founds the group once enough answer, among those that answered), waited_ms.")
	eventApplied = event.Define(3016, logrus.InfoLevel, "settings accepted",
		"An operator's tree was accepted as a new revision. Fields: revision, base, order, version.")
	eventVoterChange = event.Define(3017, logrus.InfoLevel, "voters changed",
		"The set of voters or learners changed. Fields: voters, learners.")
	eventVoterRepair = event.Define(3018, logrus.InfoLevel, "voters repaired",
		"The leader performed one step towards the configured number of live voters. Fields: step, voters, learners.")
	eventVoterRepairRefused = event.Define(3019, logrus.WarnLevel, "repair of the voters rejected",
		"The leader could not perform the next step of a repair and retries it. If this persists, inspect the voters with: celeryport voter list.")
	eventStorageRecovered = event.Define(3022, logrus.InfoLevel, "data folder recovered",
		"All state of the voter was rewritten and synced after a failure of its data folder, and the voter takes part again.")
	eventSyncFailed = event.Define(3023, logrus.WarnLevel, "lost contact with the control group",
		"A sync failed after a successful one. The instance continues with its last known state. Fields: target, error.")
	eventSyncRestored = event.Define(3024, logrus.InfoLevel, "in contact with the control group",
		"A sync succeeded, for the first time or after a failure. Fields: leader, revision.")
	eventSeedsChanged = event.Define(3025, logrus.InfoLevel, "seeds changed",
		"The process settings name different addresses at which to look for the control group. Fields: seeds.")
	eventProvisional = event.Define(3026, logrus.InfoLevel, "provisional settings installed",
		"There is no leader yet; the instance serves by the latest settings that another instance has applied. Fields: revision, upstreams.")
	eventFleetStoreFailed = event.Define(3027, logrus.WarnLevel, "fleet not stored",
		"The list of instances and upstreams could not be written to the data folder or read from it. After a restart of all instances callers wait some seconds longer. Fields: error.")
	eventUpstreamDiscovered = event.Define(3028, logrus.InfoLevel, "upstream discovered",
		"An upstream was announced for the first time and may get requests. Fields: upstream, address, targets, sequence.")
	eventUpstreamLeaving = event.Define(3029, logrus.InfoLevel, "upstream leaving",
		"An upstream announced that it accepts no new requests; it gets none from now on. Fields: upstream, incarnation, address, targets, sequence.")
	eventAnnouncementRefused = event.Define(3030, logrus.WarnLevel, "announcement refused",
		"An announcement named no usable upstream: fields are missing or invalid, or the settings do not name its service. Logged at most once a second. Find the program that sends it. Fields: upstream, error, refused (total).")
	eventVoterDetached = event.Define(3031, logrus.WarnLevel, "voter without contact with a leader",
		"The voter that this instance syncs with cannot reach a leader. The instance continues with its last known state and looks for another voter. Fields: voter, revision.")
	eventPackFailed = event.Define(3032, logrus.ErrorLevel, "instances not compressed",
		"The list of instances could not be compressed, which is a bug. It is sent uncompressed, which slows down the voters when a fleet starts; report it. Fields: error.")
	eventEvidenceUndelivered = event.Define(3033, logrus.WarnLevel, "evidence waits for a leader",
		"Evidence about requests that crash upstreams could not be delivered to a leader; delivery is retried. Until then other instances may forward such a request. Fields: error, waiting.")
	eventEvidenceDropped = event.Define(3034, logrus.WarnLevel, "evidence dropped",
		"More evidence about requests that crash upstreams was reported than could be delivered. Many upstreams crash at once, or there is no leader. Fields: dropped, waiting.")
	eventQuarantine = event.Define(3035, logrus.WarnLevel, "quarantined requests changed",
		"Requests that crash upstreams are rejected on all instances; the set of these requests, or of the parts of prompts by which requests are rejected, has changed. List them with: celeryport quarantine list. Fields: requests and parts (how many requests and groups of parts), version.")
	eventEvacuated = event.Define(3036, logrus.WarnLevel, "evacuated zones changed",
		"An operator has evacuated an availability zone or restored one; this instance sends no new work to upstreams of the evacuated zones. List them with: celeryport zone list. Fields: zones, version.")
	eventStorageSlow = event.Define(3037, logrus.WarnLevel, "data folder slow",
		"A write to the log took so long that the voter could not take part in consensus meanwhile. If it persists, the group loses its leader: find out what else uses the disk, or replace it. Fields: folder, waited_ms.")
	eventDeparturesNotStored = event.Define(3038, logrus.WarnLevel, "leaving upstreams not acknowledged",
		"Upstreams wait for the acknowledgement that they leave, since no majority of the voters has stored it; it is tried again. They get no new requests from the instances that know of it, but may end before they are acknowledged. Fields: error, waiting.")
	eventRelayFailed = event.Define(3021, logrus.ErrorLevel, "upstreams not relayed",
		"Announcements of upstreams could not be encoded for other instances, which is a bug. The other instances lose track of the upstreams; report it.")
	eventServeFailed = event.Define(3020, logrus.ErrorLevel, "control address failed",
		"The control address cannot be served; the instance stops.")
)
