package cli

import (
	"os"
	"testing"

	"celeryport/event"
)

func TestEventCatalogueIsCurrent(t *testing.T) {
	// Someone adds or changes a log event and forgets the catalogue. Whoever is on
	// call looks the number up and finds nothing, or something untrue.
	page, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != event.Document() {
		t.Error("docs/EVENTS.md differs from the code; write it anew: bin/celeryport events > docs/EVENTS.md")
	}
}
