package settings

import "time"

const (
	leastDeadline = 10 * time.Millisecond
	mostDeadline  = 24 * time.Hour
	mostPriority  = 1000
	mostQueue     = 100 * kilo
	mostSlowdown  = 1000
	leastWindow   = time.Hour
	mostWindow    = 90 * 24 * time.Hour
	highestGoal   = 0.99999 // a goal of 1 leaves no error budget to burn
)

var classSchema = schema[Class]{
	kind:  "class",
	title: "[class], [class.NAME], [class.NAME.NAME]",
	help:  "The tree of classes of work. Each branch inherits every key from its parent unless it gives its own.",
	fields: []field[Class]{
		key("priority", integer(-mostPriority, mostPriority), "0", func(c *Class) *int { return &c.Priority },
			"Engine priority; a higher one is more urgent."),
		key("deadline", duration(leastDeadline, mostDeadline), "30s", func(c *Class) *time.Duration { return &c.Deadline },
			"Time from arrival to the final answer. A caller may ask for less, never for more."),
		key("no_repeat", boolean(), "false", func(c *Class) *bool { return &c.NoRepeat },
			"Whether every request of the class runs at most once."),
		key("queue_limit", count(1, mostQueue), "256", func(c *Class) *int { return &c.QueueLimit },
			"Most requests that wait on one instance."),
		key("first_token", duration(time.Millisecond, mostDeadline), "1s",
			func(c *Class) *time.Duration { return &c.Objectives.FirstToken },
			"Objective: bound of the time to the first token of short prompts."),
		key("first_token_goal", number(0, highestGoal), "0.95",
			func(c *Class) *float64 { return &c.Objectives.FirstTokenGoal },
			"Objective: fraction of answers to short prompts within first_token."),
		key("in_time_goal", number(0, highestGoal), "0.999",
			func(c *Class) *float64 { return &c.Objectives.InTimeGoal },
			"Objective: fraction of admitted requests that are answered before their deadline."),
		key("served_goal", number(0, highestGoal), "0.99",
			func(c *Class) *float64 { return &c.Objectives.ServedGoal },
			"Objective: fraction of received requests that are served."),
		key("slowdown_bound", number(1, mostSlowdown), "3",
			func(c *Class) *float64 { return &c.Objectives.SlowdownBound },
			"Objective: bound of the slowdown of short prompts, their time to first token over that on an idle fleet."),
		key("objective_window", duration(leastWindow, mostWindow), "720h",
			func(c *Class) *time.Duration { return &c.Objectives.Window },
			"Period over which the error budget of the objectives is counted."),
	},
}
