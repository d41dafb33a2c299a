package forward

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var (
	eventAcceptFailed = event.Define(7000, logrus.ErrorLevel, "connection not accepted",
		"A caller's connection could not be accepted, for instance for want of descriptors. Raise the limit or add instances.")
	eventUnreadable = event.Define(7001, logrus.WarnLevel, "call not read",
		"A caller sent something that is no proper call, too much, or too slowly; nothing was forwarded. Fields: status, error.")
	eventRefused = event.Define(7002, logrus.InfoLevel, "call refused",
		"The call was not run and the caller was reported so, with the time after which to come back. Fields: call, route, status, reason, message, retry_after_ms, sends, rejections (sends rejected for want of a helper), waited_ms, revision.")
	eventServed = event.Define(7003, logrus.InfoLevel, "call answered",
		"The caller has the upstream's whole answer. Fields: call, route, status, upstream, sends, first_ms (from the call's first byte), placed_ms (until its last send had a place), pause_ms (the longest between two events) and paused_at_ms (when that began), predicted_ms (of the first event), prompt (tokens), readers (engines that read it), helpers (those of them that did not answer), total_ms, revision.")
	eventFailed = event.Define(7004, logrus.WarnLevel, "call failed",
		"The caller got no whole answer, and the call may have run. Fields: call, route, reason, message, upstream, sends, events, total_ms, revision.")
	eventCallerLeft = event.Define(7005, logrus.InfoLevel, "caller left",
		"The caller closed its connection before the end; the upstream's work was cut off. Fields: call, route, upstream, sends, events, total_ms.")
	eventSendFailed = event.Define(7006, logrus.WarnLevel, "send failed",
		"One send of a call brought no answer. Fields: call, upstream, address, verdict, error, kind (first, repeated, or granted: the arbiter chose the upstream), phase (unanswered, started or answering), request (fingerprint of host, path, caller and body), helper (that refused its part, if one did), events, after_ms.")
	eventSuspected = event.Define(7007, logrus.WarnLevel, "upstream suspected",
		"An upstream took no connection, or answered nothing; it gets no new work for a while. Fields: upstream, address, error, for_ms.")
	eventMisdirected = event.Define(7008, logrus.InfoLevel, "upstream replaced",
		"Another incarnation answers at the address; this one gets no more work. Fields: upstream, address.")
	eventNotReserved = event.Define(7011, logrus.WarnLevel, "memory not reserved",
		"A helper did not set memory aside for a prompt that no engine can hold alone; the call goes to others or is refused. Fields: reservation (instance, call, try), upstream, tokens, error.")
	eventArbiterSilent = event.Define(7012, logrus.WarnLevel, "arbiter silent",
		"The instance that places the long prompts of all did not answer; another one is asked, or the prompt is placed from what is known here. Fields: call (instance, call, try), arbiter, address.")
	eventForeignDatagram = event.Define(7010, logrus.WarnLevel, "datagram refused",
		"Something that is no report of an instance of this fleet came to the control port. Check that all instances have the same key. Fields: from, error.")
	eventUpstreamEnded = event.Define(7013, logrus.WarnLevel, "upstream ended",
		"The process of an upstream ended while calls were under way there. Fields: upstream, address, started and unanswered (fingerprints of the requests whose answer had begun a moment ago, and of those without any answer), answering (number of the others). A request that is in many of these lines may be what ends them.")
	eventEvidence = event.Define(7014, logrus.InfoLevel, "request suspected or cleared",
		"An upstream ended with a request, or answered a request with which others had ended. Requests that end several upstreams are quarantined (3035). Fields: request (fingerprint), outcome (ended-waiting, ended-started, answered), upstream (key of the incarnation).")
	eventRateNamed = event.Define(7015, logrus.InfoLevel, "upstream names a rate",
		"An upstream in need names, or no longer names, how many requests a second it takes from all instances together. Fields: upstream, address, rate (requests a second; absent: no longer).")
	eventRestAsked = event.Define(7016, logrus.InfoLevel, "upstream asks for rest",
		"An upstream rejected a request and wants nothing more from this instance for a time. Fields: upstream, address, wanted_ms, for_ms (what is kept of it).")
	eventLeavingHeard = event.Define(7017, logrus.InfoLevel, "upstream says that it leaves",
		"An answer of an upstream says that it leaves; this instance sends it nothing new. Fields: upstream, address.")
	eventUnreadStatement = event.Define(7018, logrus.WarnLevel, "statement of an upstream not read",
		"A field in which an upstream says something of itself has a value that can't be read; it counts as not stated. Logged once in 10 s for each upstream. Fields: upstream, address, fields.")
	eventRestEnded = event.Define(7019, logrus.InfoLevel, "upstream accepts requests after its rest",
		"An upstream that had asked for rest accepted the request that was to find out; it gets any number of them again. Fields: upstream, address.")
	eventCleared = event.Define(7009, logrus.InfoLevel, "upstream works again",
		"A suspected upstream answered. Fields: upstream, address.")
)
