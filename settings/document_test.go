package settings

import (
	"os"
	"testing"
)

func TestSettingsPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Document() {
		t.Error("docs/SETTINGS.md is out of date: regenerate it with celeryport settings document")
	}
}
