// Package bench compares the production dispatch policy with a naive baseline in a
// discrete-event simulation: several entry instances, each with its own
// dispatcher, share engine models whose announcements arrive late. Runs are seeded
// and deterministic. The network is modelled only by fixed and random delays.
package bench

import (
	"time"

	"celeryport/settings"
	"celeryport/standin/enginemodel"
)

// Site is one simulated deployment.
type Site struct {
	Name          string
	Engines       int
	Instances     int
	Organisations []Organisation
	Mix           []Mix
}

// Organisation is one organisation that shares the engines of a site.
type Organisation struct {
	Name   string
	Weight float64
	Demand float64 // relative number of requests, compared with the other organisations
}

// Mix describes one class of requests within the traffic of a site.
type Mix struct {
	Class        string
	Share        float64 // fraction of all requests
	Shortest     int     // prompt tokens, log-uniform between Shortest and Longest
	Longest      int
	Output       [2]int // answer tokens, uniform between the two values
	Deadline     time.Duration
	Priority     int
	SharedPrefix float64 // fraction of the prompts that begin with a shared prefix
}

// Prompt length limit, engine memory in tokens and model name of both sites.
const (
	maxShortTokens = 16_000
	engineMemory   = 400_000
	model          = "model"
)

// capacity returns the saturated prefill rate of the site in tokens a second: every
// iteration of every engine processes a full chunk.
func (s *Site) capacity() float64 {
	c := engineConfig()
	iteration := c.DecodeStep.Seconds() + float64(c.Chunk)/c.PrefillRate
	return float64(s.Engines) * float64(c.Chunk) / iteration
}

func engineConfig() enginemodel.Config {
	c := enginemodel.DefaultConfig()
	c.MemoryTokens = engineMemory
	c.FirstAndLastOnly = true
	return c
}

// tree returns the part of the settings that the dispatchers use.
func (s *Site) tree() *settings.Tree {
	tree := &settings.Tree{
		Models:  []settings.Model{{Name: model, Spans: true}},
		Lengths: []settings.Length{{Name: "short", UpTo: maxShortTokens}, {Name: "long", UpTo: 2_000_000, Long: true}},
	}
	for _, o := range s.Organisations {
		tree.Organisations = append(tree.Organisations, settings.Organisation{
			Name: o.Name, Admit: true, Weight: o.Weight, RetryRatio: 0.1,
		})
	}
	for _, m := range s.Mix {
		tree.Classes = append(tree.Classes, settings.Class{
			Name: m.Class, Priority: m.Priority, Deadline: m.Deadline, QueueLimit: 500,
		})
	}
	return tree
}
