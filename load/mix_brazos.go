package load

import "time"

// Brazos returns the mix of a manufacturing company: shop floor questions, badge
// checks and line-status pings that need an immediate answer, and board histories
// and audits that can wait.
func Brazos() Mix {
	franchises := []string{"franchise-03", "franchise-04", "franchise-05", "franchise-06", "franchise-07", "franchise-08"}
	lines := append([]string{"floor", "floor", "floor", "franchise-01", "franchise-02"}, franchises...)
	engineers := append([]string{"engineering", "engineering", "engineering"}, franchises...)
	return Mix{
		Name:    "brazos",
		Model:   "assist-llm",
		Service: "floor-gate",
		Classes: []Class{
			{
				Name: "floor", Weight: 45, Organisations: lines, Deadline: 10 * time.Second,
				Prompt: &PromptShape{MinTokens: 1000, MaxTokens: 6000, AnswerTokens: 60, Subjects: 30},
			},
			{
				Name: "ping", Weight: 12, Organisations: lines, Deadline: 3 * time.Second,
				Call: &CallShape{Path: "/line-status", NoRepeat: true},
			},
			{
				Name: "badge", Weight: 13, Organisations: lines, Deadline: 3 * time.Second,
				Call: &CallShape{Path: "/badges"},
			},
			{
				Name: "board-history", Weight: 20, Organisations: engineers, Deadline: 5 * time.Minute,
				Prompt: &PromptShape{MinTokens: 8000, MaxTokens: 120_000, AnswerTokens: 250, Subjects: 40},
			},
			{
				Name: "audit", Weight: 10, Organisations: engineers, Deadline: 20 * time.Minute,
				Prompt: &PromptShape{MinTokens: 100_000, MaxTokens: 1_000_000, AnswerTokens: 500, Subjects: 10},
			},
		},
	}
}
