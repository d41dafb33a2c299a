package slopes

import "math"

// fitLine returns the least-squares line through the points.
func fitLine(x, y []float64) Fit {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return Fit{}
	}
	fit := Fit{Slope: (n*sumXY - sumX*sumY) / spread}
	fit.Base = (sumY - fit.Slope*sumX) / n
	for i := range x {
		fit.Residual = max(fit.Residual, math.Abs(y[i]-fit.Base-fit.Slope*x[i]))
	}
	return fit
}

// fitIdle fits one figure of the measured fleets against another.
func fitIdle(fleets []Idle, x, y func(*Idle) float64) Fit {
	xs, ys := make([]float64, len(fleets)), make([]float64, len(fleets))
	for i := range fleets {
		xs[i], ys[i] = x(&fleets[i]), y(&fleets[i])
	}
	return fitLine(xs, ys)
}
