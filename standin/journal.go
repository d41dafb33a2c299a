package standin

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Ending says how an execution ended, or that it began.
type Ending string

// The endings in a journal.
const (
	Begun          Ending = "begun"     // it runs from now on; if no other line follows, the process died
	EndedWhole     Ending = "whole"     // the final frame or the answer was sent
	EndedCancelled Ending = "cancelled" // a cancel ended it
	EndedDeadline  Ending = "deadline"  // its remaining time was over
	EndedUnread    Ending = "unread"    // its reader was lost and did not come back
	EndedSpanLost  Ending = "span-lost" // a part of its span lost its memory
	EndedStopped   Ending = "stopped"   // the stand-in ended
	EndedRefused   Ending = "refused"   // it was not executed
)

// Entry is one line of a journal: the beginning or the end of one execution, or a
// refusal. A comparison of these lines with a report tells whether the report is
// true, and keys that begin more than once were doubled, whatever died meanwhile.
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
	Reason       string    `json:"reason,omitempty"` // of a refusal
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
