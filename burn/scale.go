package burn

import "time"

// scale maps times and burn rates to the pixels of a chart.
type scale struct {
	first   time.Time
	span    time.Duration
	highest float64
}

// scaleOf returns the scale that shows all points and a rate of 1.
func scaleOf(history []Point) scale {
	s := scale{highest: 1, span: 1}
	if len(history) == 0 {
		return s
	}
	s.first = history[0].At
	s.span = max(1, history[len(history)-1].At.Sub(s.first))
	for i := range history {
		s.highest = max(s.highest, history[i].Rate)
	}
	return s
}

func (s *scale) x(at time.Time) int {
	const width = chartWidth - marginLeft - marginRight
	return marginLeft + int(width*at.Sub(s.first).Seconds()/s.span.Seconds())
}

func (s *scale) y(rate float64) int {
	const height = chartHeight - marginTop - marginBottom
	return chartHeight - marginBottom - int(height*rate/s.highest)
}

// steps returns a line that keeps the rate of each point until the next one.
func (s *scale) steps(history []Point) (x, y []int) {
	for i := range history {
		at := s.x(history[i].At)
		if i > 0 {
			x, y = append(x, at), append(y, y[len(y)-1])
		}
		x, y = append(x, at), append(y, s.y(history[i].Rate))
	}
	return x, y
}
