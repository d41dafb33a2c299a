package cli

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// buildBinary builds the celeryport command into a folder and returns its path.
func buildBinary(t *testing.T, folder string) string {
	t.Helper()
	binary := filepath.Join(folder, "celeryport")
	if out, err := exec.Command("go", "build", "-o", binary, "celeryport/cmd/celeryport").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// freeAddresses returns addresses that stay reserved until processes listen on them.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	var printed bytes.Buffer
	if err := printFreeAddresses(&printed, count); err != nil {
		t.Fatal(err)
	}
	return strings.Fields(printed.String())
}
