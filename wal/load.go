package wal

import (
	"path/filepath"
	"slices"

	"celeryport/event"
)

// load reads the files from the newest checkpoint on and rewrites their records to
// a new checkpoint. The data read may exist only in the kernel's page cache: the
// previous process may have been killed between a write and its sync, or its sync
// failed and the kernel marked the pages as clean. If that data were treated as
// synced, it would be confirmed to other voters and then lost in the next power
// failure.
func (r *Records) load() ([][]byte, error) {
	segments, err := r.segments()
	if err != nil {
		return nil, err
	}
	var records [][]byte
	for i, s := range segments {
		c, err := r.loadSegment(s, i == len(segments)-1)
		if err != nil {
			return nil, err
		}
		records = append(records, c.records...)
		r.current = s
	}
	return records, r.rewrite(records)
}

// segments returns the files from the newest checkpoint on.
func (r *Records) segments() ([]segment, error) {
	names, err := r.fs.ReadFolder(r.folder)
	if err != nil {
		return nil, err
	}
	var found []segment
	for _, name := range names {
		if s, ok := parseSegment(name); ok {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b segment) int { return int(a.number) - int(b.number) })
	for i := len(found) - 1; i >= 0; i-- {
		if found[i].checkpoint {
			return found[i:], r.checkComplete(found[i:])
		}
	}
	if len(found) > 0 {
		return nil, &DamagedError{r.path(found[0]), 0, "the checkpoint that it follows is missing"}
	}
	return nil, nil
}

// checkComplete rejects a log with a missing file.
func (r *Records) checkComplete(segments []segment) error {
	for i, s := range segments {
		if want := segments[0].number + uint64(i); s.number != want {
			return &DamagedError{r.path(s), 0, "the file before it is missing"}
		}
	}
	return nil
}

func (r *Records) loadSegment(s segment, newest bool) (content, error) {
	path := r.path(s)
	data, err := r.fs.ReadFile(path)
	if err != nil {
		return content{}, err
	}
	c, err := readSegment(path, data, newest)
	if err != nil {
		return content{}, err
	}
	if c.tornOffset >= 0 {
		eventTornTail.Log(r.options.Logger, event.Fields{
			"file": filepath.Base(path), "offset": c.tornOffset, "bytes": int64(len(data)) - c.tornOffset,
		})
	}
	return c, nil
}
