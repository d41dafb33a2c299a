package capacity

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "rewrite docs/CAPACITY.md from the recorded measurements")

const documents = "../docs"

func recorded(t *testing.T) Sources {
	t.Helper()
	s, err := Read(documents)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func render(t *testing.T, s Sources) string {
	t.Helper()
	text, err := Document(Letter(), &s)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A measurement is renewed, or a formula mended, and the page keeps its old
// figures; or somebody mends a figure in the page by hand. A reader who plans a
// fleet by it would plan with figures that nobody measured.
func TestPageFollowsTheMeasurements(t *testing.T) {
	path := filepath.Join(documents, "CAPACITY.md")
	want := render(t, recorded(t))
	if *update {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Fatalf("%s differs from the measurements; renew it with: go test ./capacity -update", path)
	}
}
