package wal

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// hangInterval is the time after which, and the interval at which, a call of the file system that has not returned is logged.
const hangInterval = 5 * time.Second

// LogHang logs that the folder does not answer, until the returned function is called: a disk may
// hang without an error.
func LogHang(log logrus.FieldLogger, folder string) (answered func()) {
	began := time.Now()
	var mu sync.Mutex
	logged, ended := false, false
	var timer *time.Timer
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(hangInterval, func() {
		mu.Lock()
		defer mu.Unlock()
		if ended {
			return
		}
		logged = true
		eventHangs.Log(log, event.Fields{"folder": folder, "waited_ms": time.Since(began).Milliseconds()})
		timer.Reset(hangInterval)
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		ended = true
		timer.Stop()
		if logged {
			eventAnswers.Log(log, event.Fields{"folder": folder, "waited_ms": time.Since(began).Milliseconds()})
		}
	}
}
