package wal

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"io/fs"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"celeryport/consensus"
	"celeryport/event"
)

// identityRandomBytes makes two identities of one instance differ for sure.
const identityRandomBytes = 8

// Identity says which voter a data folder belongs to. It is made once, with a
// random part, when the folder is empty. A lost disk takes the identity with it,
// so that the instance can't come back as the voter whose votes and entries are
// gone.
//
// It also keeps groups apart: a folder that is started among the voters of
// another group has an ID that nobody there knows.
type Identity struct {
	Voter consensus.ID `json:"voter"`
}

// Identity returns the identity of the folder.
func (l *Log) Identity() Identity { return l.id }

func (l *Log) identityPath() string { return filepath.Join(l.folder, "identity") }

func (l *Log) writeIdentity(id Identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return WriteChecked(l.records.fs, l.identityPath(), data)
}

// loadIdentity reads the identity, or makes it in an empty folder. A folder with
// records and without an identity was put together by hand.
func (l *Log) loadIdentity(name string, used bool) (fresh bool, err error) {
	data, err := ReadChecked(l.records.fs, l.identityPath())
	if errors.Is(err, fs.ErrNotExist) {
		if used {
			return false, &DamagedError{l.identityPath(), 0, "missing, but the folder holds records"}
		}
		return true, l.makeIdentity(name)
	}
	if err != nil {
		return false, err
	}
	if err := json.Unmarshal(data, &l.id); err != nil || l.id.Voter == "" {
		return false, &DamagedError{l.identityPath(), 0, "not an identity"}
	}
	return false, nil
}

func (l *Log) makeIdentity(name string) error {
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
