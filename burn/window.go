package burn

import "time"

// Pair is a long and a short window with the burn rate at which both together raise
// an alert. The long window ensures that the burn is significant, the short one that
// it is still going on: with the long window alone, an alert would stay active for up
// to an hour after the fault is fixed.
type Pair struct {
	Long      time.Duration
	Short     time.Duration
	Threshold float64
	Action    string
}

// The actions that an alert calls for.
const (
	Page   = "page"   // respond immediately: the budget would be spent within days
	Ticket = "ticket" // respond during working hours
)

// pairs are the common multi-window alert thresholds for a period of 30 days. A burn
// rate of 14.4 over one hour spends 2% of the budget, a rate of 6 over six hours 5%,
// and rates of 3 over one day and of 1 over three days 10% each.
var pairs = []Pair{
	{Long: time.Hour, Short: 5 * time.Minute, Threshold: 14.4, Action: Page},
	{Long: 6 * time.Hour, Short: 30 * time.Minute, Threshold: 6, Action: Page},
	{Long: 24 * time.Hour, Short: 2 * time.Hour, Threshold: 3, Action: Ticket},
	{Long: 72 * time.Hour, Short: 6 * time.Hour, Threshold: 1, Action: Ticket},
}

// windows lists all windows of the pairs in ascending order.
var windows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 6 * time.Hour, 24 * time.Hour, 72 * time.Hour,
}

const (
	// rateWindow is the window whose rate is used to estimate how long the budget lasts.
	rateWindow = 6 * time.Hour
	// burnersWindow is the window over which the current burners are listed.
	burnersWindow = time.Hour
)
