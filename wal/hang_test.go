package wal

import (
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
)

// Guards against an instance that stands still at a disk that hangs without a line in its log.
func TestHangingFolderIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, test := range []struct {
			hangs time.Duration
			lines []string
		}{
			{hangInterval - time.Millisecond, nil},
			{2*hangInterval + time.Millisecond, []string{"data folder does not answer", "data folder does not answer", "data folder answers"}},
		} {
			log, hook := logtest.NewNullLogger()
			err := Await(t.Context(), "folder", log, func() error {
				time.Sleep(test.hangs)
				return nil
			})
			time.Sleep(time.Minute)
			if err != nil || len(hook.AllEntries()) != len(test.lines) {
				t.Fatalf("%s: %v, %d lines", test.hangs, err, len(hook.AllEntries()))
			}
			for i, line := range test.lines {
				if got := hook.AllEntries()[i].Message; got != line {
					t.Errorf("%s: line %d is %q", test.hangs, i, got)
				}
			}
		}
	})
}
