package cli

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	urfave "github.com/urfave/cli/v3"
)

// commandPattern matches a command line in a page, either on an indented line of its
// own or between backquotes.
var commandPattern = regexp.MustCompile("(?m)(?:^    |`)(?:bin/)?celeryport ([^`\n]*)")

// Guards against pages with commands or flags that no longer exist, which operators
// would copy during an incident.
func TestDocumentedCommandsExist(t *testing.T) {
	pages, err := filepath.Glob("../docs/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	root := &urfave.Command{Commands: commands(io.Discard, io.Discard, nil)}
	found := 0
	for _, page := range append(pages, "../README.md") {
		text, err := os.ReadFile(page)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		joined := strings.ReplaceAll(string(text), "\\\n", " ")
		for _, match := range commandPattern.FindAllStringSubmatch(joined, -1) {
			found++
			checkCommand(t, root, filepath.Base(page), strings.Fields(match[1]))
		}
	}
	if found == 0 {
		t.Error("no command found in any page")
	}
}

func checkCommand(t *testing.T, root *urfave.Command, page string, words []string) {
	t.Helper()
	command := root
	for _, word := range words {
		if name, isFlag := strings.CutPrefix(word, "--"); isFlag {
			name, _, _ = strings.Cut(strings.TrimRight(name, ".,;:)"), "=")
			if !hasFlag(command, name) {
				t.Errorf("%s: celeryport %s: there is no flag --%s", page, strings.Join(words, " "), name)
			}
			continue
		}
		if sub := subcommand(command, word); sub != nil {
			command = sub
		}
	}
	if command == root {
		t.Errorf("%s: there is no command celeryport %s", page, strings.Join(words, " "))
	}
}

func subcommand(command *urfave.Command, name string) *urfave.Command {
	for _, sub := range command.Commands {
		if sub.Name == name {
			return sub
		}
	}
	return nil
}

func hasFlag(command *urfave.Command, name string) bool {
	for _, flag := range command.Flags {
		if slices.Contains(flag.Names(), name) {
			return true
		}
	}
	return name == "help"
}
