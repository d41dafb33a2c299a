package load

import "time"

// Aretusa returns the mix of a tailoring company: shop counter questions and fabric
// reservations while a customer waits, and longer prompts about fitting histories,
// patterns and ledgers.
func Aretusa() Mix {
	counters := []string{"bottega", "bottega", "sartoria-nord", "sartoria-sud", "fitting-room", "magazzino", "vendite"}
	return Mix{
		Name:    "aretusa",
		Model:   "modello-sarto",
		Service: "cassa-bottega",
		Classes: []Class{
			{
				Name: "counter", Weight: 45, Organisations: counters, Deadline: 10 * time.Second,
				Prompt: &PromptShape{MinTokens: 1000, MaxTokens: 4000, AnswerTokens: 40, Subjects: 20},
			},
			{
				Name: "hold", Weight: 20, Organisations: counters, Deadline: 10 * time.Second,
				Call: &CallShape{Path: "/holds", NoRepeat: true},
			},
			{
				Name: "pattern", Weight: 15, Deadline: 3 * time.Minute,
				Organisations: []string{"atelier", "atelier", "cucito", "sartoria-nord"},
				Prompt:        &PromptShape{MinTokens: 4000, MaxTokens: 16_000, AnswerTokens: 200, Subjects: 50},
			},
			{
				Name: "fitting", Weight: 14, Deadline: 2 * time.Minute,
				Organisations: []string{"fitting-room", "sartoria-nord", "sartoria-sud", "cucito"},
				Prompt:        &PromptShape{MinTokens: 16_000, MaxTokens: 100_000, AnswerTokens: 300, Subjects: 40},
			},
			{
				Name: "ledger", Weight: 6, Deadline: 20 * time.Minute,
				Organisations: []string{"archivio", "archivio", "atelier"},
				Prompt:        &PromptShape{MinTokens: 100_000, MaxTokens: 1_000_000, AnswerTokens: 400, Subjects: 10},
			},
		},
	}
}
