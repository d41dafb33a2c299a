package capacity

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"celeryport/slopes"
)

// The recorded files, in the folder of the documents.
const (
	slopesFile  = "slopes.json"
	trafficFile = "slopes-traffic.json"
)

// Sources are the recorded measurements that the page rests on.
type Sources struct {
	Control slopes.Result
	Traffic Traffic
}

// Read returns the measurements that are recorded in the folder. A file that is
// missing, unreadable or incomplete is an error.
func Read(folder string) (Sources, error) {
	var s Sources
	if err := readJSON(filepath.Join(folder, slopesFile), &s.Control); err != nil {
		return Sources{}, err
	}
	if err := readJSON(filepath.Join(folder, trafficFile), &s.Traffic); err != nil {
		return Sources{}, err
	}
	return s, s.check()
}

// check refuses files from which a figure would silently come out as zero.
func (s *Sources) check() error {
	switch {
	case len(s.Control.Instances) < 2, len(s.Control.Upstreams) < 2, len(s.Control.Claims) == 0, s.Control.Changes.TextBytes == 0, s.Control.Slopes == (slopes.Slopes{}):
		return errors.Newf("%s is incomplete", slopesFile)
	case len(s.Traffic.Requests) < 2, len(s.Traffic.Copies) < 2, len(s.Traffic.States) < 2, len(s.Traffic.Decisions) == 0, len(s.Traffic.Trials.Fleets) == 0,
		s.Traffic.Process.Resident == 0, len(s.Traffic.Reconciler.Fleets) < 2, len(s.Traffic.Merges.Copies) < 2:
		return errors.Newf("%s is incomplete", trafficFile)
	}
	return nil
}

func readJSON(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read the measurements")
	}
	return errors.Wrapf(json.Unmarshal(text, into), "read %s", path)
}
