package burn

import "time"

// Pair is a long and a short window with the burn rate at which they call for
// action. The long one makes sure that the burn matters, the short one that it
// still goes on: with the long one alone, a fault that is mended would go on
// calling for an hour.
type Pair struct {
	Long      time.Duration
	Short     time.Duration
	Threshold float64
	Action    string
}

// The actions of the pairs.
const (
	Page   = "page"   // now: the budget is gone within days
	Ticket = "ticket" // in working hours
)

// pairs are the usual ones for a period of 30 days: a burn of 14.4 over an hour
// spends 2% of the budget, one of 6 over six hours 5%, one of 3 over a day and
// one of 1 over three days 10% each.
var pairs = []Pair{
	{Long: time.Hour, Short: 5 * time.Minute, Threshold: 14.4, Action: Page},
	{Long: 6 * time.Hour, Short: 30 * time.Minute, Threshold: 6, Action: Page},
	{Long: 24 * time.Hour, Short: 2 * time.Hour, Threshold: 3, Action: Ticket},
	{Long: 72 * time.Hour, Short: 6 * time.Hour, Threshold: 1, Action: Ticket},
}

// windows are all windows of the pairs, ascending.
var windows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 6 * time.Hour, 24 * time.Hour, 72 * time.Hour,
}

const (
	// rateWindow is the window whose rate tells how long the budget lasts.
	rateWindow = 6 * time.Hour
	// burnersWindow is the window over which the burners of the moment are listed.
	burnersWindow = time.Hour
)
