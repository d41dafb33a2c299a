package forward

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var (
	eventAcceptFailed = event.Define(7000, logrus.ErrorLevel, "connection not accepted",
		"A caller's connection could not be accepted, for instance because the process has no file descriptors left. Raise the limit or add instances.")
	eventUnreadable = event.Define(7001, logrus.WarnLevel, "call not read",
		"A caller sent a malformed or too large call, or sent it too slowly; nothing was forwarded. Fields: caller (address), call (empty: not known), cause (caller; stopping: the rest did not arrive before this instance stopped), status, error.")
	eventRefused = event.Define(7002, logrus.InfoLevel, "call refused",
		"The call was not run; the caller was informed and got the time after which to retry. Fields: call, route, status, reason, message, retry_after_ms, sends, rejections (sends rejected because a helper refused its part), arbiter (instance that placed the long prompt), handler (instance that handled the call for this one), received_by (instance for which this one handled the call), waited_ms, revision; of a call that was decided on while this instance stops: stop_decided_ms (since the begin of the stop), stop_needed_ms (until its deadline) and stop_left_ms (until the end of the stop).")
	eventServed = event.Define(7003, logrus.InfoLevel, "call answered",
		"The caller received the upstream's whole answer. Fields: call, route, status, upstream, sends, moves (away from silent engines, see 7022), first_ms (from the call's first byte), placed_ms (until its last send was placed), pause_ms (longest pause between two events) and paused_at_ms (start of that pause), predicted_ms (of the first event), prompt (tokens), readers (engines that read the prompt), helpers (the readers other than the answering engine), arbiter (instance that placed the long prompt), handler (instance that handled the call for this one), received_by (instance for which this one handled the call), resumed_after (events that its caller had before the last send), total_ms, revision; of a call that was decided on while this instance stops: stop_decided_ms (since the begin of the stop), stop_needed_ms (until its deadline) and stop_left_ms (until the end of the stop).")
	eventFailed = event.Define(7004, logrus.WarnLevel, "call failed",
		"The caller did not receive a whole answer, and the call may have run. Fields: call, route, reason, message, upstream, sends, events, total_ms, revision; of an answer that was cut after it had begun: observed (what was known of its upstream: reachable, unreachable, paths-lost, ended, none), and no status; of a call that was decided on while this instance stops: stop_decided_ms (since the begin of the stop), stop_needed_ms (until its deadline) and stop_left_ms (until the end of the stop).")
	eventCallerLeft = event.Define(7005, logrus.InfoLevel, "caller left",
		"The caller closed its connection before the answer was complete, or read nothing of it for too long; the send to the upstream was aborted unless it had ended. Fields: call, route, upstream, sends, events, total_ms, error (of the write, if the whole answer was there), status (of the refusal that was sent in case the caller has only closed its sending half).")
	eventSendFailed = event.Define(7006, logrus.WarnLevel, "send failed",
		"One send of a call failed. Fields: call, upstream, address, verdict, error, kind (first, repeated, or granted: the arbiter chose the upstream), phase (unanswered, started or answering), request (fingerprint of host, path, caller and body), parts (of the prompt, but the last one), helper (the one that refused its part, if any), events, after_ms.")
	eventSuspected = event.Define(7007, logrus.WarnLevel, "upstream suspected",
		"An upstream accepted no connection or did not respond; it gets no new work for a while. Fields: upstream, address, error, for_ms.")
	eventReplaced = event.Define(7008, logrus.InfoLevel, "upstream replaced",
		"Another incarnation answers at the address; this one gets no more work. Fields: upstream, address.")
	eventNotReserved = event.Define(7011, logrus.WarnLevel, "memory not reserved",
		"A helper did not reserve memory for a prompt that no engine can hold alone; the call is sent to other engines or refused. Fields: reservation (instance, call, try), upstream, tokens, error.")
	eventArbiterSilent = event.Define(7012, logrus.WarnLevel, "arbiter silent",
		"The arbiter, which places the long prompts of all instances, did not answer; another instance is asked, or this instance places the prompt itself. Fields: call (instance, call, try), arbiter, address.")
	eventForeignDatagram = event.Define(7010, logrus.WarnLevel, "datagram refused",
		"A datagram that is not a valid message of an instance of this fleet arrived at the control port. Check that all instances have the same key. Fields: from, error.")
	eventUpstreamEnded = event.Define(7013, logrus.WarnLevel, "upstream ended",
		"The process of an upstream ended while it had calls in flight. Fields: upstream, address, started and unanswered (fingerprints of the requests whose answer had just begun, and of those without any answer), answering (number of the others), parts (of the prompts of the started ones). A request or a part that appears in many of these lines may be the cause.")
	eventEvidence = event.Define(7014, logrus.InfoLevel, "request suspected or cleared",
		"An upstream ended while it had a request in flight, or answered a request that other upstreams had in flight when they ended. Requests that end several upstreams are quarantined (3035). Fields: request (fingerprint), parts (of its prompt; those that were not answered lately, or that are cleared), outcome (ended-waiting, ended-started, answered), upstream (key of the incarnation).")
	eventRateNamed = event.Define(7015, logrus.InfoLevel, "upstream names a rate",
		"An upstream names, or no longer names, how many requests per second it accepts from all instances together. Fields: upstream, address, rate (requests per second; absent: no longer named).")
	eventRestAsked = event.Define(7016, logrus.InfoLevel, "upstream asks for rest",
		"An upstream rejected a request and asked this instance to send no requests for a time. Fields: upstream, address, wanted_ms (requested), for_ms (applied).")
	eventLeavingStated = event.Define(7017, logrus.InfoLevel, "upstream is leaving",
		"An answer of an upstream states that it is leaving; this instance sends it no new requests. Fields: upstream, address.")
	eventUnparsableStatement = event.Define(7018, logrus.WarnLevel, "upstream statement not parsed",
		"A header field with which an upstream describes its state has a value that can't be parsed; it is ignored. Logged at most once in 10 s for each upstream. Fields: upstream, address, fields.")
	eventRestEnded = event.Define(7019, logrus.InfoLevel, "upstream accepts requests after its rest period",
		"An upstream that had asked for a rest period accepted the probing request; it gets requests without restriction again. Fields: upstream, address.")
	eventLoadsKnown = event.Define(7025, logrus.InfoLevel, "loads of the other instances known",
		"This instance has received the loads of the other instances after its start, or after it was frozen, and packs short prompts again. Fields: after_ms (since the start of the process), spread (calls spread over all engines since then).")
	eventPathsLost = event.Define(7026, logrus.WarnLevel, "paths to upstreams lost",
		"None of several upstreams of a service took a new connection of this instance, and none was reached in between: this instance has lost its network paths to them, or all of them ended. Fields: service, upstream and address (the last one tried), upstreams (known for the service), error.")
	eventPathsRestored = event.Define(7027, logrus.InfoLevel, "paths to upstreams restored",
		"An upstream of the service took a new connection again. Fields: service, upstream, address, after_ms (since the paths were lost).")
	eventTransitDeclined = event.Define(7028, logrus.InfoLevel, "call not taken by another instance",
		"This instance has lost its paths to the upstreams, and another instance did not handle a call for it: it was not reached, has lost them too, stops, or has older settings. The next one is asked. Fields: call, handler, address, error.")
	eventTransitFailed = event.Define(7029, logrus.WarnLevel, "call not answered through another instance",
		"The connection to an instance that handled a call for this one broke before the answer was complete. Fields: call, handler, verdict, error, events, after_ms.")
	eventMoved = event.Define(7022, logrus.InfoLevel, "call moved",
		"The upstream was silent for so long that the caller would have disconnected, that its answer should have begun, or without accepting connections; the call was sent to another engine, after the last event that the caller has. Many of these lines for one upstream show that it prefills a long prompt, or hangs. Fields: call, route, upstream, to, returns (whether that one had received the call before), cause (unanswered, prefill, silent, overdue: the answer should have begun, or unreachable: the upstream accepts no connection), silent_ms, patience_ms, predicted_ms (of the next event), events, after_ms.")
	eventRepeatSharers = event.Define(7030, logrus.InfoLevel, "repeat budget shared",
		"The number of instances by which this one divides the fixed part of the repeat budgets has changed. Fields: instances, after_ms (since the start of the process).")
	eventRepeatDenied = event.Define(7031, logrus.WarnLevel, "repeat denied",
		"A call was not sent again because the repeat budget of its service is used up. Logged at most once in a second for each service. Fields: service, calls and repeats (of this instance within the window), slack (repeats left beyond those that the calls allow), instances (that share the budget).")
	eventServedNowhere = event.Define(7050, logrus.WarnLevel, "no instance reaches the upstreams of a service",
		"This instance has lost its paths to the upstreams of a service, and every other instance that it reached, of those that it asked, reaches none of them either. A call whose upstream has ended, as far as this instance can tell, is given up. Logged when this is first known. Fields: service, asked (instances).")
	eventOutlierEjected = event.Define(7033, logrus.WarnLevel, "upstream avoided because it fails calls",
		"An upstream fails more of the calls that it accepts than the others of its service; doubts are those of all instances, two for each that is sure and one for each that is not. It gets no calls for for_ms, then one at a time until it answers one. Look at the upstream: its health checks may pass.")
	eventOutlierRestored = event.Define(7034, logrus.InfoLevel, "upstream that failed calls is used again",
		"An upstream that was avoided because it failed calls has answered one.")
	eventHelperEjected = event.Define(7035, logrus.WarnLevel, "engine gets no parts of prompts because it fails them",
		"Prompts fail for want of this engine as a helper more often than for want of others. It gets no parts of prompts for for_ms, then one at a time until it reads one. It goes on getting calls of its own. Fields: upstream, address, for_ms.")
	eventSilent = event.Define(7032, logrus.WarnLevel, "send ended because its upstream is silent",
		"The upstream has sent nothing for long, and the send was given up. Fields: call, route, upstream, address, observed (ended: its machine refuses connections or has accepted none for long; paths-lost: this instance reaches no upstream of the service, and another instance does), silent_ms, events, sends_left, repeatable (at this point of the answer), after_ms.")
	eventEndless = event.Define(7036, logrus.WarnLevel, "answer without end ended",
		"An answer was ended because its bytes were without end or over a limit. Fields: road (upstream, instance: another one that handles the call, small: polls, orders and health checks), cause (trickle: bytes that complete no part or come too slowly, excess: more bytes than any answer has beside its parts, size: a body over its limit, repeated: events that it has sent before or, beyond a bound, that the caller has already), peer, address, error, call and events (of a call). Look at the peer: it may take connections and pass its health checks.")
	eventEndChecked = event.Define(7037, logrus.InfoLevel, "end of an answer without a length checked",
		"An answer that had neither a length nor chunks ended with its connection, and it was checked whether its upstream broke it off. Fields: call, route, upstream, address, observed (same: the incarnation that wrote the answer replied, replaced: another one did, refused: nothing listens there, silent: no connection or no reply, unclear: a reply that shows nothing, shortage: this process has no descriptor or port left, unsupported: the service has no health path, expired: the deadline of the call passed), complete (whether the answer counts as complete; only if same), leaving (it has announced that it leaves), events, check_ms; of a connection that did not end in order: connection_error and met_by (read, write).")
	eventMemoryAwaited = event.Define(7038, logrus.WarnLevel, "answer waited for memory",
		"An answer, or a long event of one, was not read for a while, or not any more, because the memory for answers was held by others. Fields: call, route, service, bytes (that it waited for), granted (false: its call ended first), waited_ms, free_bytes (of the memory for answers). Look for an upstream with long answers, event 7036 names those without end; raise [limits] memory.")
	eventIdleClosed = event.Define(7040, logrus.InfoLevel, "idle connection closed",
		"This instance closed a caller's connection on which no call was under way. Fields: caller (address), cause (idle: no call came within the limit; stopping: this instance stops), idle_ms, limit_ms, calls (answered on it).")
	eventCallCutOff = event.Define(7041, logrus.WarnLevel, "call cut off while it was read",
		"The connection ended before the call was read completely; nothing was forwarded, and the caller got no answer. Fields: caller (address), call (empty: not known), cause (caller: the caller closed or reset it; stopping: this instance stops; other: see error), after_ms (since the first byte of the call), calls (answered on the connection before), error.")
	eventUnacknowledged = event.Define(7043, logrus.InfoLevel, "answer not acknowledged at the close",
		"This instance had written a whole answer or refusal and closed its connection before the caller's host had acknowledged all bytes. The kernel goes on sending them, unless the caller has gone or this machine ends. Fields: caller (address), call (empty: not known), cause (caller: it closed or reset the connection; stopping: this instance stops; limit: none of these), bytes (not acknowledged), after_ms (since the answer was written).")
	eventMemoryUnused = event.Define(7042, logrus.WarnLevel, "reserved memory not used",
		"Memory that was reserved for a prompt was not used within idle_memory, because the engine that leads the call has not begun it, and is given up. The call goes to another lead if one can answer in time. Look at the lead if it is named often. Fields: reservation (instance, call, try), upstream, tokens, reserved_ms (ago), observed (unused: the engine states that no call uses it; unknown: the engine did not reply or does not list it), lead, lead_streams and lead_held (what this instance knows of the load of the lead: streams, and tokens of memory).")
	eventCleared = event.Define(7009, logrus.InfoLevel, "upstream works again",
		"A suspected upstream answered. Fields: upstream, address.")
)
