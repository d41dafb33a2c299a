package load

import "time"

// Aretusa is the work of the tailoring division: counter questions and fabric
// holds while a client stands by, fitting histories, patterns and ledgers.
func Aretusa() Mix {
	counters := []string{"bottega", "bottega", "sartoria-nord", "sartoria-sud", "fitting-room", "magazzino", "vendite"}
	return Mix{
		Name:    "aretusa",
		Model:   "modello-sarto",
		Service: "cassa-bottega",
		Classes: []Class{
			{
				Name: "counter", Weight: 45, Organisations: counters, Deadline: 10 * time.Second,
				Prompt: &PromptShape{LeastTokens: 1000, MostTokens: 4000, AnswerTokens: 40, Subjects: 20},
			},
			{
				Name: "hold", Weight: 20, Organisations: counters, Deadline: 10 * time.Second,
				Call: &CallShape{Path: "/holds", NoRepeat: true},
			},
			{
				Name: "pattern", Weight: 15, Deadline: 3 * time.Minute,
				Organisations: []string{"atelier", "atelier", "cucito", "sartoria-nord"},
				Prompt:        &PromptShape{LeastTokens: 4000, MostTokens: 16_000, AnswerTokens: 200, Subjects: 50},
			},
			{
				Name: "fitting", Weight: 14, Deadline: 2 * time.Minute,
				Organisations: []string{"fitting-room", "sartoria-nord", "sartoria-sud", "cucito"},
				Prompt:        &PromptShape{LeastTokens: 16_000, MostTokens: 100_000, AnswerTokens: 300, Subjects: 40},
			},
			{
				Name: "ledger", Weight: 6, Deadline: 20 * time.Minute,
				Organisations: []string{"archivio", "archivio", "atelier"},
				Prompt:        &PromptShape{LeastTokens: 100_000, MostTokens: 1_000_000, AnswerTokens: 400, Subjects: 10},
			},
		},
	}
}
