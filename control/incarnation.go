package control

import (
	"encoding/json"
	"io/fs"

	"github.com/cockroachdb/errors"

	"celeryport/membership"
)

// renewIncarnation chooses an incarnation above all known ones, and syncs it before it is
// used.
func (c *core) renewIncarnation(known uint64) error {
	folder := c.installed.folder
	if folder.path != "" {
		last, err := loadIncarnation(folder)
		if err != nil {
			return err
		}
		known = max(known, last)
	}
	next := membership.NextIncarnation(c.node.clock.Now(), known)
	data, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the incarnation")
	}
	if err := folder.write(incarnationFile, data); err != nil {
		return err
	}
	c.self.Incarnation = next
	return nil
}

// loadIncarnation returns the last stored incarnation, 0 if there is none.
func loadIncarnation(folder dataFolder) (uint64, error) {
	data, err := folder.read(incarnationFile)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var last uint64
	return last, errors.Wrap(json.Unmarshal(data, &last), "the incarnation is damaged")
}
