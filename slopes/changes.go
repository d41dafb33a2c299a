package slopes

import (
	"path/filepath"
	"time"

	"celeryport/control"
)

const (
	changeCount  = 200
	inForceCount = 40
	textBytes    = 4 << 10 // about the size of the example trees
)

// measureChanges applies changes one after the other.
func measureChanges(folder string) (Changes, error) {
	f, err := startFleet(voterCount, smallFleet, filepath.Join(folder, "changes"))
	if err != nil {
		return Changes{}, err
	}
	pause(settleTime)
	rest, err := f.measure(0)
	if err != nil {
		return Changes{}, err
	}
	changes := Changes{Count: changeCount, TextBytes: len(settingsText(0, textBytes)), Instances: smallFleet}
	if err := f.commits(&changes, &rest); err != nil {
		return Changes{}, err
	}
	if err := f.spreads(&changes); err != nil {
		return Changes{}, err
	}
	return changes, f.close()
}

// commits measures the latency of commits and what each change costs above the
// fleet at rest.
func (f *fleet) commits(changes *Changes, rest *Idle) error {
	var commits []time.Duration
	before := f.usage()
	for i := range changeCount {
		took, err := f.apply(settingsText(i, textBytes))
		if err != nil {
			return err
		}
		commits = append(commits, took)
	}
	if err := f.awaitInstalled(f.revision); err != nil {
		return err
	}
	after := f.usage()
	seconds := after.at.Sub(before.at).Seconds()
	share := float64(changeCount * len(f.members))
	changes.BytesEach = (float64(after.bytes-before.bytes) - rest.LeaderBytes*seconds) / share
	changes.CallsEach = (float64(after.calls-before.calls) - rest.LeaderCalls*seconds) / share
	changes.CPUEach = ((after.cpu - before.cpu).Seconds() - rest.CPUPerInstance*seconds*float64(len(f.members))) / share
	changes.CommitMs = quantilesOf(commits)
	changes.CommitPerHour = float64(changeCount) / seconds * time.Hour.Seconds()
	return nil
}

// spreads measures the time from an order to installed everywhere and to in
// force.
func (f *fleet) spreads(changes *Changes) error {
	var installed, inForce []time.Duration
	for i := range inForceCount {
		start := time.Now()
		if _, err := f.apply(settingsText(i, textBytes)); err != nil {
			return err
		}
		if err := f.awaitInstalled(f.revision); err != nil {
			return err
		}
		installed = append(installed, time.Since(start))
		if err := f.awaitInForce(); err != nil {
			return err
		}
		inForce = append(inForce, time.Since(start))
	}
	changes.EverywhereMs = quantilesOf(installed)
	changes.InForceMs = quantilesOf(inForce)
	return nil
}

func (f *fleet) awaitInForce() error {
	_, err := await("the settings in force", func() bool {
		var status control.SettingsStatus
		return f.ask(control.CommandShow, nil, &status) == nil && status.InForce >= f.revision
	})
	return err
}
