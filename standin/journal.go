package standin

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Ending states how an execution ended, or that it started.
type Ending string

// The values of Ending in a journal.
const (
	Begun          Ending = "begun"     // the execution started; if no other entry follows, the process crashed or was killed
	EndedWhole     Ending = "whole"     // an engine sent the final frame, or a service executed the call
	EndedCancelled Ending = "cancelled" // it was cancelled
	EndedDeadline  Ending = "deadline"  // its deadline passed
	EndedUnread    Ending = "unread"    // its reader disconnected and did not resume in time
	EndedSpanLost  Ending = "span-lost" // a part of its span was lost
	EndedStopped   Ending = "stopped"   // the stand-in stopped
	EndedRefused   Ending = "refused"   // it was not executed
)

// Entry is one line of a journal: the start or the end of one execution, or a
// refusal. Reports are verified by comparison with the journals. A key that started
// more than once was executed repeatedly, even if processes were killed meanwhile.
type Entry struct {
	At           time.Time `json:"at"`
	Upstream     string    `json:"upstream"`
	Request      string    `json:"request"`
	Attempt      uint32    `json:"attempt"`
	Key          string    `json:"key,omitempty"`
	Target       string    `json:"target"`
	PromptTokens int       `json:"prompt_tokens,omitempty"`
	AnswerTokens int       `json:"answer_tokens,omitempty"`
	Ended        Ending    `json:"ended"`
	Reason       string    `json:"reason,omitempty"` // reason of a refusal
}

// journal writes entries as JSON lines.
type journal struct {
	mu  sync.Mutex
	to  io.Writer
	log logrus.FieldLogger
}

func (j *journal) write(entry *Entry) {
	if j.to == nil {
		return
	}
	line, err := json.Marshal(entry)
	if err != nil {
		eventJournalFailed.Log(j.log, logrus.Fields{"error": err.Error()})
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, err := j.to.Write(append(line, '\n')); err != nil {
		eventJournalFailed.Log(j.log, logrus.Fields{"error": err.Error()})
	}
}
