package cli

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an instance that ends because its settings file is being written when it starts, and
// against one that waits for a file that nobody writes.
func TestSettingsThatAreBeingWrittenAreAwaited(t *testing.T) {
	whole := reloadedSettings + "127.0.0.1:3\n"
	for name, test := range map[string]struct {
		parts []string      // of the file, written at intervals of settingsPoll
		most  time.Duration // until the settings are used or refused
		fails bool
	}{
		"whole":             {[]string{whole}, 0, false},
		"written in parts":  {[]string{"", whole[:40], whole[:90], whole}, 5 * settingsPoll, false},
		"missing at first":  {[]string{"-", "-", whole}, 4 * settingsPoll, false},
		"missing":           {[]string{"-"}, settingsSettle, true},
		"empty":             {[]string{""}, settingsSettle, true},
		"faulty, unchanged": {[]string{whole[:90]}, settingsSettle, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				path := filepath.Join(t.TempDir(), "process.ini")
				write := func(part string) {
					if part == "-" {
						return
					}
					if err := os.WriteFile(path, []byte(part), 0o600); err != nil {
						t.Error(err)
					}
				}
				write(test.parts[0])
				go func() {
					for _, part := range test.parts[1:] {
						time.Sleep(settingsPoll)
						write(part)
					}
				}()
				began := time.Now()
				process, text, err := awaitProcess(t.Context(), path)
				if (err != nil) != test.fails || err == nil && (process.Name != "front-1" || string(text) != whole) {
					t.Errorf("read %q, %v", text, err)
				}
				if took := time.Since(began); took > test.most {
					t.Errorf("took %s, at most %s wanted", took, test.most)
				}
			})
		})
	}
}
