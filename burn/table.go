package burn

import "time"

// Table is the burn of all objectives.
type Table struct {
	At         time.Time   `json:"at"`
	Objectives []Objective `json:"objectives"`
	// Unplaced are requests that a voter learned too late to place in time; they
	// are in no window.
	Unplaced uint64 `json:"unplaced"`
	// UnknownInstances ended or are cut off without their last copy: what they
	// counted since is in no window.
	UnknownInstances int `json:"unknown_instances"`
}

// Objective is the burn of one objective of one class.
type Objective struct {
	Class      string        `json:"class"`
	Kind       Kind          `json:"objective"`
	Goal       float64       `json:"goal"`
	Bound      string        `json:"bound,omitempty"`
	Period     time.Duration `json:"period_ns"`
	Total      uint64        `json:"total"` // requests of the period that it is about
	Bad        uint64        `json:"bad"`   // of these, requests that missed it
	BudgetLeft float64       `json:"budget_left"`
	Rates      []Rate        `json:"rates"`
	Alerts     []Alert       `json:"alerts,omitempty"`
	// DaysLeft is how long the budget lasts at the rate of the last six hours;
	// nil: for ever.
	DaysLeft      *float64 `json:"days_left"`
	Burners       []Burner `json:"burners,omitempty"`        // of the last hour
	PeriodBurners []Burner `json:"burners_period,omitempty"` // of the period
	History       []Point  `json:"history,omitempty"`        // by the hour
}

// Rate is how fast the budget burns over a window: 1 spends it exactly within
// the period.
type Rate struct {
	Window time.Duration `json:"window_ns"`
	Rate   float64       `json:"rate"`
	Total  uint64        `json:"total"`
	Bad    uint64        `json:"bad"`
}

// Alert is a pair of windows that both burn at its threshold or faster.
type Alert struct {
	Action string        `json:"action"`
	Long   time.Duration `json:"long_ns"`
	Short  time.Duration `json:"short_ns"`
	Rate   float64       `json:"rate"` // of the long window
}

// Burner is a part of what missed an objective.
type Burner struct {
	Organisation string  `json:"organisation"`
	Cause        string  `json:"cause"`
	Bad          uint64  `json:"bad"`
	Share        float64 `json:"share"` // of all that missed it
}

// Point is the burn rate of one hour.
type Point struct {
	At   time.Time `json:"at"`
	Rate float64   `json:"rate"`
}
