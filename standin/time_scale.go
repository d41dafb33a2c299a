package standin

import "time"

// timeScale converts between real time and the time of the engine model, so that the
// prefill of a million tokens can be tested within seconds.
type timeScale struct {
	start  time.Time
	factor float64 // model seconds per real second
}

func newTimeScale(start time.Time, factor float64) timeScale {
	if factor <= 0 {
		factor = 1
	}
	return timeScale{start: start, factor: factor}
}

func (s timeScale) model(at time.Time) time.Time {
	return s.start.Add(s.modelDuration(at.Sub(s.start)))
}

func (s timeScale) real(at time.Time) time.Time {
	return s.start.Add(s.realDuration(at.Sub(s.start)))
}

func (s timeScale) modelDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.factor)
}

func (s timeScale) realDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.factor)
}
