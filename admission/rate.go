package admission

import (
	"math"
	"time"
)

// Rate is an exponentially weighted rate per second. Its window is the time constant; zero means
// defaultRateWindow.
type Rate struct {
	Window time.Duration
	value  float64
	at     time.Time
}

// defaultRateWindow spans several heartbeats.
const defaultRateWindow = 4 * time.Second

func (r *Rate) window() time.Duration {
	if r.Window == 0 {
		return defaultRateWindow
	}
	return r.Window
}

// Add counts an amount.
func (r *Rate) Add(now time.Time, amount float64) {
	r.value = r.PerSecond(now) + amount/r.window().Seconds()
	r.at = now
}

// PerSecond returns the rate as of now.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-float64(now.Sub(r.at))/float64(r.window()))
}
