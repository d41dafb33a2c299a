package burn

import "time"

// Table holds the burn of all objectives.
type Table struct {
	At         time.Time   `json:"at"`
	Objectives []Objective `json:"objectives"`
	// Unplaced is the number of requests of which voters were informed too late to
	// place them in time. They are not part of any window.
	Unplaced uint64 `json:"unplaced"`
	// UnknownInstances is the number of instances that ended or became unreachable
	// without sending a final copy. Requests that they counted after their last copy
	// are not part of any window.
	UnknownInstances int `json:"unknown_instances"`
}

// Objective holds the burn of one objective of one class.
type Objective struct {
	Class      string        `json:"class"`
	Kind       Kind          `json:"objective"`
	Goal       float64       `json:"goal"`
	Bound      string        `json:"bound,omitempty"`
	Period     time.Duration `json:"period_ns"`
	Total      uint64        `json:"total"` // requests of the period that the objective covers
	Bad        uint64        `json:"bad"`   // requests included in Total that missed the objective
	BudgetLeft float64       `json:"budget_left"`
	Rates      []Rate        `json:"rates"`
	Alerts     []Alert       `json:"alerts,omitempty"`
	// DaysLeft is the number of days that the budget lasts at the rate of the last six
	// hours; nil: indefinitely.
	DaysLeft      *float64 `json:"days_left"`
	Burners       []Burner `json:"burners,omitempty"`        // in the last hour
	PeriodBurners []Burner `json:"burners_period,omitempty"` // in the period
	History       []Point  `json:"history,omitempty"`        // hourly
}

// Rate is the burn rate over a window. A rate of 1 spends the budget exactly within
// the period.
type Rate struct {
	Window time.Duration `json:"window_ns"`
	Rate   float64       `json:"rate"`
	Total  uint64        `json:"total"`
	Bad    uint64        `json:"bad"`
}

// Alert is raised when the burn rates of both windows of a Pair reach its threshold.
type Alert struct {
	Action string        `json:"action"`
	Long   time.Duration `json:"long_ns"`
	Short  time.Duration `json:"short_ns"`
	Rate   float64       `json:"rate"` // of the long window
}

// Burner counts the requests of one organisation that missed an objective for one
// cause.
type Burner struct {
	Organisation string  `json:"organisation"`
	Cause        string  `json:"cause"`
	Bad          uint64  `json:"bad"`
	Share        float64 `json:"share"` // Bad as a fraction of all requests that missed the objective
}

// Point is the burn rate of one hour.
type Point struct {
	At   time.Time `json:"at"`
	Rate float64   `json:"rate"`
}
