package wal

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"io/fs"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"celeryport/consensus"
	"celeryport/event"
)

// identityRandomBytes is the size of the random part of an identity, large enough
// that two identities of one instance always differ.
const identityRandomBytes = 8

const identityFile = "identity"

// Identity identifies the voter that a data folder belongs to. It is created once,
// with a random part, when the folder is empty. A lost disk also loses the
// identity, so that the instance can't rejoin as the voter whose votes and entries
// are lost.
//
// The identity also separates groups: a voter whose folder belongs to another
// group has an ID that is unknown to the group's members.
type Identity struct {
	Voter consensus.ID `json:"voter"`
}

// Identity returns the identity of the folder.
func (l *Log) Identity() Identity { return l.id }

func (l *Log) identityPath() string { return identityPath(l.folder) }

func identityPath(folder string) string { return filepath.Join(folder, identityFile) }

// checkHasLog rejects a folder that has an identity but no log file. A log file is synced
// before the identity, so the votes of this voter are lost.
func checkHasLog(folder string, fs FS) error {
	names, err := fs.ReadFolder(folder)
	if err != nil {
		return err
	}
	if !slices.Contains(names, identityFile) {
		return nil
	}
	for _, name := range names {
		if _, ok := parseSegment(name); ok {
			return nil
		}
	}
	return &DamagedError{identityPath(folder), 0, "the folder has no log file, so the votes of this voter are lost"}
}

func (l *Log) writeIdentity(id Identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return WriteChecked(l.records.fs, l.identityPath(), data)
}

// loadIdentity reads the identity, or creates it in an empty folder. A folder that
// has records but no identity was assembled by hand and is rejected.
func (l *Log) loadIdentity(name string, used bool) (fresh bool, err error) {
	data, err := ReadChecked(l.records.fs, l.identityPath())
	if errors.Is(err, fs.ErrNotExist) {
		if used {
			return false, &DamagedError{l.identityPath(), 0, "missing, but the folder holds records"}
		}
		return true, l.createIdentity(name)
	}
	if err != nil {
		return false, err
	}
	if err := json.Unmarshal(data, &l.id); err != nil || l.id.Voter == "" {
		return false, &DamagedError{l.identityPath(), 0, "not an identity"}
	}
	return false, nil
}

func (l *Log) createIdentity(name string) error {
	random := make([]byte, identityRandomBytes)
	if _, err := io.ReadFull(l.records.options.Random, random); err != nil {
		return err
	}
	l.id = Identity{Voter: consensus.ID(name + "-" + hex.EncodeToString(random))}
	if err := l.writeIdentity(l.id); err != nil {
		return err
	}
	eventNewIdentity.Log(l.records.options.Logger, event.Fields{"voter": string(l.id.Voter), "folder": l.folder})
	return nil
}
