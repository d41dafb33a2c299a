package slopes

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/control"
)

const electionCount = 7

// measureElections kills the leader again and again.
func measureElections(folder string) (Quantiles, error) {
	f, err := startFleet(voterCount, voterCount, filepath.Join(folder, "elections"))
	if err != nil {
		return Quantiles{}, err
	}
	var elections []time.Duration
	for range electionCount {
		old, err := f.leader()
		if err != nil {
			return Quantiles{}, err
		}
		old.kill()
		start := time.Now()
		if _, err := f.leader(); err != nil {
			return Quantiles{}, err
		}
		elections = append(elections, time.Since(start))
		if err := old.restart(); err != nil {
			return Quantiles{}, err
		}
		if err := f.awaitInstalled(f.revision); err != nil {
			return Quantiles{}, err
		}
	}
	return quantilesOf(elections), f.close()
}

// measureCatchUp has a voter miss changes and come back.
func measureCatchUp(missed int, folder string) (CatchUp, error) {
	f, err := startFleet(voterCount, voterCount, filepath.Join(folder, fmt.Sprintf("catch-up-%d", missed)))
	if err != nil {
		return CatchUp{}, err
	}
	late, err := f.follower()
	if err != nil {
		return CatchUp{}, err
	}
	late.kill()
	for i := range missed {
		if _, err := f.apply(settingsText(i, 0)); err != nil {
			return CatchUp{}, err
		}
	}
	before := f.othersBytes(late)
	start := time.Now()
	if err := late.restart(); err != nil {
		return CatchUp{}, err
	}
	if err := f.awaitLog(late); err != nil {
		return CatchUp{}, err
	}
	result := CatchUp{
		Changes: missed,
		Seconds: time.Since(start).Seconds(),
		Bytes:   float64(f.othersBytes(late) - before + late.bytes()),
	}
	return result, f.close()
}

// awaitLog waits until a voter has the whole log on its disk.
func (f *fleet) awaitLog(late *member) error {
	_, err := await("the log at the late voter", func() bool {
		var status control.VotersStatus
		if f.ask(control.CommandVoterList, nil, &status) != nil {
			return false
		}
		for _, v := range status.Voters {
			if v.Address == late.process.ControlListen {
				return v.Match >= f.revision
			}
		}
		return false
	})
	return err
}

// follower returns a voter that does not lead.
func (f *fleet) follower() (*member, error) {
	leader, err := f.leader()
	if err != nil {
		return nil, err
	}
	for _, m := range f.members[:f.voters] {
		if m != leader {
			return m, nil
		}
	}
	return nil, errors.New("no voter but the leader")
}

// othersBytes sums the traffic of all nodes but one, whose counters begin anew
// with its restart.
func (f *fleet) othersBytes(but *member) uint64 {
	total := uint64(0)
	for _, m := range f.members {
		if m != but {
			total += m.bytes()
		}
	}
	return total
}
