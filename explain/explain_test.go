package explain

import (
	"strings"
	"testing"
)

// testLog mixes lines of three instances, one with the prefix of a log shipper and one
// truncated, with a line that is not a log line.
const testLog = `front-2 2 {"event":7006,"instance":"front-1","call":"c-1","upstream":"i-7","verdict":"may-have-run","error":"connection reset","msg":"send failed","time":"2026-01-01T10:00:01.5Z"}
{"event":7007,"instance":"front-2","upstream":"i-7","msg":"upstream suspected","time":"2026-01-01T10:00:01Z"}
{"event":7004,"instance":"front-1","call":"c-1","upstream":"i-7","message":"upstream: the upstream failed","events":3,"total_ms":800,"msg":"call failed","time":"2026-01-01T10:00:02Z"}
{"event":7002,"instance":"front-3","call":"c-2","status":503,"message":"deadline: too late","total_ms":0,"msg":"call refused","time":"2026-01-01T10:00:00Z"}
{"event":7006,"instance":"front-3","call":"c-3","upstream":"i-8","verdict":"not-run","error":"turned away","msg":"send failed","time":"2026-01-01T10:00:00Z"}
panic: something else
{"event":7003,"instance":"front-1","call":"c-1","msg":"cut sho`

func TestStoriesOfFailedCalls(t *testing.T) {
	// The cause of a failed call must be found by its id alone, in the mixed logs of
	// several instances.
	lines, skipped, err := Read(strings.NewReader(testLog))
	if err != nil || skipped != 2 || len(lines) != 5 {
		t.Fatalf("%d lines, %d skipped, %v", len(lines), skipped, err)
	}
	tests := []struct{ call, cause string }{
		{"c-1", "It may have run; sends that failed before: i-7 (may-have-run): connection reset."},
		{"c-2", "front-3 refused it after 0 ms with status 503: deadline: too late. It did not run."},
		{"c-3", "No end is logged: front-3 was killed"},
	}
	for _, test := range tests {
		story, found := StoryOf(lines, test.call)
		if !found || !strings.Contains(story.Cause, test.cause) {
			t.Errorf("%s: %q, want %q", test.call, story.Cause, test.cause)
		}
	}
	if story, _ := StoryOf(lines, "c-1"); len(story.Upstream) != 1 || len(story.Lines) != 2 || story.Lines[0].Event != eventSendFailed {
		t.Errorf("story of c-1: %+v", story)
	}
	if _, found := StoryOf(lines, "unknown"); found {
		t.Error("found a story of an unknown call")
	}
}

// Guards against a story that omits why the call's upstream got no more requests.
func TestStoryIncludesEventsOfTheUpstream(t *testing.T) {
	const log = `{"event":7016,"instance":"front-1","upstream":"i-7","for_ms":3000,"msg":"upstream asks for rest","time":"2026-01-01T10:00:00Z"}
{"event":7017,"instance":"front-1","upstream":"i-7","msg":"upstream says that it leaves","time":"2026-01-01T10:00:00Z"}
{"event":7006,"instance":"front-1","call":"c-1","upstream":"i-7","verdict":"not-run","error":"status 503","msg":"send failed","time":"2026-01-01T10:00:01Z"}
{"event":7019,"instance":"front-1","upstream":"i-8","msg":"upstream accepts requests after its rest","time":"2026-01-01T10:00:02Z"}
`
	lines, _, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if story, _ := StoryOf(lines, "c-1"); len(story.Upstream) != 2 {
		t.Errorf("events of the upstream in the story: %+v", story.Upstream)
	}
}
