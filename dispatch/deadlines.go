package dispatch

import "time"

// deadlines is a binary heap of jobs ordered by deadline.
type deadlines struct {
	jobs []*job
}

func (d *deadlines) push(j *job) {
	d.jobs = append(d.jobs, j)
	j.position = len(d.jobs)
	d.up(len(d.jobs) - 1)
}

func (d *deadlines) remove(j *job) {
	i, last := j.position-1, len(d.jobs)-1
	d.swap(i, last)
	d.jobs[last] = nil
	d.jobs = d.jobs[:last]
	j.position = 0
	if i < last {
		d.down(i)
		d.up(i)
	}
}

// first returns the job with the earliest deadline, or nil.
func (d *deadlines) first() *job {
	if len(d.jobs) == 0 {
		return nil
	}
	return d.jobs[0]
}

// due returns a job whose deadline has passed, or nil.
func (d *deadlines) due(now time.Time) *job {
	if j := d.first(); j != nil && !now.Before(j.request.Deadline) {
		return j
	}
	return nil
}

func (d *deadlines) less(i, j int) bool {
	return d.jobs[i].request.Deadline.Before(d.jobs[j].request.Deadline)
}

func (d *deadlines) swap(i, j int) {
	d.jobs[i], d.jobs[j] = d.jobs[j], d.jobs[i]
	d.jobs[i].position = i + 1
	d.jobs[j].position = j + 1
}

func (d *deadlines) up(i int) {
	for i > 0 && d.less(i, (i-1)/2) {
		d.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (d *deadlines) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(d.jobs) {
			return
		}
		if child+1 < len(d.jobs) && d.less(child+1, child) {
			child++
		}
		if !d.less(child, i) {
			return
		}
		d.swap(i, child)
		i = child
	}
}
