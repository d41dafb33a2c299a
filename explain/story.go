package explain

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Numbers of the events that a story consists of. The meaning of a number never
// changes.
const (
	eventRefused     = 7002
	eventServed      = 7003
	eventFailed      = 7004
	eventCallerLeft  = 7005
	eventSendFailed  = 7006
	eventSuspected   = 7007
	eventMisdirected = 7008
	eventRestAsked   = 7016
	eventSaysLeaving = 7017
	eventRestEnded   = 7019
	eventLeaves      = 3029
)

// upstreamEvents are the events about the state of an upstream.
var upstreamEvents = []int{eventSuspected, eventMisdirected, eventLeaves, eventRestAsked, eventSaysLeaving, eventRestEnded}

// Story holds the logged events of one call.
type Story struct {
	Call     string
	Lines    []Line // of the call itself, by time
	Upstream []Line // about the upstreams it was sent to, by time
	Cause    string // outcome and reason, in one sentence
}

// StoryOf returns the story of a call, or false if no line mentions it.
func StoryOf(lines []Line, call string) (Story, bool) {
	story := Story{Call: call}
	upstreams := map[string]bool{}
	for _, l := range lines {
		if textOf(l.Fields["call"]) == call {
			story.Lines = append(story.Lines, l)
			upstreams[textOf(l.Fields["upstream"])] = true
		}
	}
	delete(upstreams, "")
	for _, l := range lines {
		relevant := slices.Contains(upstreamEvents, l.Event)
		if relevant && upstreams[textOf(l.Fields["upstream"])] {
			story.Upstream = append(story.Upstream, l)
		}
	}
	sortByTime(story.Lines)
	sortByTime(story.Upstream)
	if len(story.Lines) == 0 {
		return story, false
	}
	story.Cause = cause(story.Lines)
	return story, true
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].At.Before(lines[b].At) })
}

// cause describes in a sentence how the call ended and why.
func cause(lines []Line) string {
	last := lines[len(lines)-1]
	sends := failedSends(lines)
	switch last.Event {
	case eventRefused:
		return fmt.Sprintf("%s refused it after %v ms with status %v: %s. It did not run%s.",
			last.Instance, number(last, "total_ms"), number(last, "status"), errorMessage(last), sends)
	case eventServed:
		return fmt.Sprintf("%s passed on the whole answer of %s, status %v, after %v ms%s.",
			last.Instance, textOf(last.Fields["upstream"]), number(last, "status"), number(last, "total_ms"), sends)
	case eventFailed:
		return fmt.Sprintf("%s could not bring it to an end after %v ms and %v events: %s. It may have run%s.",
			last.Instance, number(last, "total_ms"), number(last, "events"), errorMessage(last), sends)
	case eventCallerLeft:
		return fmt.Sprintf("The caller left %s after %v ms, before the end%s.", last.Instance, number(last, "total_ms"), sends)
	default:
		return fmt.Sprintf("No end is logged: %s was killed, or its log is missing here%s.", last.Instance, sends)
	}
}

func failedSends(lines []Line) string {
	var parts []string
	for _, l := range lines {
		if l.Event == eventSendFailed {
			parts = append(parts, fmt.Sprintf("%s (%s): %s", textOf(l.Fields["upstream"]), textOf(l.Fields["verdict"]), textOf(l.Fields["error"])))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return "; sends that failed before: " + strings.Join(parts, "; ")
}

func errorMessage(l Line) string { return textOf(l.Fields["message"]) }

func number(l Line, name string) any {
	if value, found := l.Fields[name]; found {
		return value
	}
	return 0
}
