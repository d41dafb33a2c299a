package control

import (
	"path/filepath"

	"github.com/sirupsen/logrus"

	"celeryport/consensus"
	"celeryport/wal"
)

// The content of the data folder.
const (
	logFolder       = "log"
	foundingFile    = "founding"
	foundersFile    = "founders"
	acceptorFile    = "acceptor"
	installedFile   = "installed"
	incarnationFile = "incarnation"
)

// dataFolder stores the files of an instance; each write is synced before it returns. A
// folder with an empty path stores nothing.
type dataFolder struct {
	path string
	fs   wal.FS
}

// write replaces the whole file.
func (d dataFolder) write(name string, data []byte) error {
	if d.path == "" {
		return nil
	}
	return wal.WriteChecked(d.fs, filepath.Join(d.path, name), data)
}

// read returns the content of a file; the error is fs.ErrNotExist if there is none.
func (d dataFolder) read(name string) ([]byte, error) {
	return wal.ReadChecked(d.fs, filepath.Join(d.path, name))
}

// openLog opens the log of a voter and locks it against a second process.
func (d dataFolder) openLog(instance string, log logrus.FieldLogger) (*wal.Log, consensus.Storage, error) {
	opened, found, err := wal.Open(filepath.Join(d.path, logFolder), instance, d.fs, wal.Options{Logger: log})
	return opened, found.Storage, err
}
