package cli

import (
	"os"
	"testing"

	"celeryport/event"
)

func TestEventCatalogueIsCurrent(t *testing.T) {
	// Guards against log events that are added or changed without regenerating the
	// catalogue, in which operators look up the event numbers.
	page, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != event.Document() {
		t.Error("docs/EVENTS.md is out of date; regenerate it: bin/celeryport events > docs/EVENTS.md")
	}
}
