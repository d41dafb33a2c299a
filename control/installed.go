package control

import (
	"encoding/json"
	"io/fs"

	"github.com/cockroachdb/errors"

	"celeryport/settings"
)

// installed is the revision by which this instance admits requests. With a data folder it
// is synced before it is used, so that a restart never reverts to a lower revision.
type installed struct {
	folder dataFolder
	stored storedRevision
	parse  func(file string, text []byte) (*settings.Tree, error)
	tree   *settings.Tree
	text   []byte // text of tree
}

// installedRecord is the content of the file.
type installedRecord struct {
	Revision uint64 `json:"revision"`
	Text     []byte `json:"text"`
}

// revision returns the number of the installed revision, 0 if there is none.
func (i *installed) revision() uint64 {
	if i.tree == nil {
		return 0
	}
	return i.tree.Revision
}

// load reads the revision that was installed before the restart.
func (i *installed) load() error {
	if i.folder.path == "" {
		return nil
	}
	data, err := i.folder.read(installedFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the installed settings")
	}
	var record installedRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return errors.Wrap(err, "the installed settings are damaged")
	}
	i.stored.number.Store(record.Revision)
	return i.activate(record.Revision, record.Text)
}

// install installs a newer revision. A revision that is not newer is ignored, because a
// delayed response must not revert the settings.
func (i *installed) install(revision uint64, text []byte) error {
	if revision <= i.revision() {
		return nil
	}
	tree, err := i.parseRevision(revision, text)
	if err != nil {
		return err
	}
	if err := i.stored.store(i.folder, revision, text); err != nil {
		return err
	}
	i.tree, i.text = tree, text
	return nil
}

func (i *installed) activate(revision uint64, text []byte) error {
	tree, err := i.parseRevision(revision, text)
	if err != nil {
		return err
	}
	i.tree, i.text = tree, text
	return nil
}

func (i *installed) parseRevision(revision uint64, text []byte) (*settings.Tree, error) {
	tree, err := i.parse("accepted settings", text)
	if err != nil {
		return nil, errors.Wrapf(err, "revision %d", revision)
	}
	tree.Revision = revision
	return tree, nil
}
