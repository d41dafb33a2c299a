package slopes

import (
	"path/filepath"
	"time"
)

const outageCount = 5

// measureOutages kills all voters but one, and starts one of them again.
func measureOutages(folder string) (Outages, error) {
	f, err := startFleet(voterCount, smallFleet, filepath.Join(folder, "outages"))
	if err != nil {
		return Outages{}, err
	}
	var stops, resumes []time.Duration
	for range outageCount {
		stop, resume, err := f.outage()
		if err != nil {
			return Outages{}, err
		}
		stops, resumes = append(stops, stop), append(resumes, resume)
	}
	return Outages{StopMs: quantilesOf(stops), ResumeMs: quantilesOf(resumes)}, f.close()
}

func (f *fleet) outage() (stop, resume time.Duration, err error) {
	dead := f.members[1:f.voters]
	for _, m := range dead {
		m.kill()
	}
	stop, err = await("every lease to end", func() bool {
		for _, m := range f.members {
			if m.stop != nil && time.Now().Before(m.node.View().LeaseUntil) {
				return false
			}
		}
		return true
	})
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	if err := dead[0].restart(); err != nil {
		return 0, 0, err
	}
	if err := f.awaitInstalled(f.revision); err != nil {
		return 0, 0, err
	}
	resume = time.Since(start)
	for _, m := range dead[1:] {
		if err := m.restart(); err != nil {
			return 0, 0, err
		}
	}
	return stop, resume, f.awaitInstalled(f.revision)
}
