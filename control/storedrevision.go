package control

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// storedRevision is the highest revision in the data folder. The goroutine that receives a revision stores it
// before the control goroutine installs it, so that consensus does not wait for that sync.
type storedRevision struct {
	writing sync.Mutex
	number  atomic.Uint64
}

// store stores a revision, unless it or a higher one is stored. It waits for the write of another revision only
// if neither is.
func (s *storedRevision) store(folder dataFolder, number uint64, text []byte) error {
	if number <= s.number.Load() {
		return nil
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	if number <= s.number.Load() {
		return nil
	}
	data, err := json.Marshal(installedRecord{Revision: number, Text: text})
	if err != nil {
		return errors.Wrap(err, "encode the installed settings")
	}
	if err := folder.write(installedFile, data); err != nil {
		return err
	}
	s.number.Store(number)
	return nil
}
