package settings

import (
	"os"
	"testing"
)

func TestSettingsPageIsThatOfTheSchema(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Document() {
		t.Error("docs/SETTINGS.md differs: write it anew with celeryport settings document")
	}
}
