package cli

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var testName = regexp.MustCompile(`\bTest[A-Z][A-Za-z0-9]*`)

func TestPromisesNameTestsThatExist(t *testing.T) {
	// Guards against tests that are renamed or removed while the page on promises
	// still cites them as proof.
	page, err := os.ReadFile("../docs/PROMISES.md")
	if err != nil {
		t.Fatal(err)
	}
	known := declaredTests(t)
	for _, name := range testName.FindAllString(string(page), -1) {
		if !known[name] {
			t.Errorf("docs/PROMISES.md names %s, which does not exist", name)
		}
	}
}

// declaredTests returns the names of all tests of the module.
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	declared := regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9]*)\(`)
	known := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range declared.FindAllSubmatch(source, -1) {
			known[string(match[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return known
}
