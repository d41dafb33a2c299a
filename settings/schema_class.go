package settings

import "time"

const (
	minDeadline = 10 * time.Millisecond
	maxDeadline = 24 * time.Hour
	maxPriority = 1000
	maxQueue    = 100 * kilo
	maxSlowdown = 1000
	minWindow   = time.Hour
	maxWindow   = 90 * 24 * time.Hour
	maxGoal     = 0.99999 // a goal of 1 would leave no error budget
)

var classSchema = schema[Class]{
	kind:  "class",
	title: "[class], [class.NAME], [class.NAME.NAME]",
	help:  "The tree of classes of work. Each branch inherits every key that it does not set itself from its parent.",
	fields: []field[Class]{
		key("priority", integer(-maxPriority, maxPriority), "0", func(c *Class) *int { return &c.Priority },
			"Engine priority; higher is more urgent."),
		key("deadline", duration(minDeadline, maxDeadline), "30s", func(c *Class) *time.Duration { return &c.Deadline },
			"Maximum time from arrival to the final answer. A caller may request less but not more."),
		key("no_repeat", boolean(), "false", func(c *Class) *bool { return &c.NoRepeat },
			"Whether every request of the class runs at most once."),
		key("queue_limit", count(1, maxQueue), "256", func(c *Class) *int { return &c.QueueLimit },
			"Maximum number of requests waiting on one instance."),
		key("first_token", duration(time.Millisecond, maxDeadline), "1s",
			func(c *Class) *time.Duration { return &c.Objectives.FirstToken },
			"Objective: bound of the time to the first token of short prompts."),
		key("first_token_goal", number(0, maxGoal), "0.95",
			func(c *Class) *float64 { return &c.Objectives.FirstTokenGoal },
			"Objective: fraction of answers to short prompts within first_token."),
		key("in_time_goal", number(0, maxGoal), "0.999",
			func(c *Class) *float64 { return &c.Objectives.InTimeGoal },
			"Objective: fraction of admitted requests that are answered before their deadline."),
		key("served_goal", number(0, maxGoal), "0.99",
			func(c *Class) *float64 { return &c.Objectives.ServedGoal },
			"Objective: fraction of received requests that are served."),
		key("slowdown_bound", number(1, maxSlowdown), "3",
			func(c *Class) *float64 { return &c.Objectives.SlowdownBound },
			"Objective: bound of the slowdown of short prompts, which is their time to first token divided by that on an idle fleet."),
		key("objective_window", duration(minWindow, maxWindow), "720h",
			func(c *Class) *time.Duration { return &c.Objectives.Window },
			"Period of the objectives' error budget."),
	},
}
