// Package bench measures the production policy beside the naive baseline on a
// virtual clock: several entry instances, each with a dispatcher of its own, in
// front of shared engine models whose announcements lag. It is seeded and
// deterministic, and models neither a network nor a cluster beyond fixed delays.
package bench

import (
	"time"

	"celeryport/settings"
	"celeryport/standin/enginemodel"
)

// Site is one deployment.
type Site struct {
	Name          string
	Engines       int
	Instances     int
	Organisations []Organisation
	Mix           []Mix
}

// Organisation is one customer of the fleet.
type Organisation struct {
	Name   string
	Weight float64
	Demand float64 // part of the requests, in relation to the others
}

// Mix is one class of requests.
type Mix struct {
	Class    string
	Part     float64 // of the requests
	Shortest int     // prompt tokens, log-uniform between the two
	Longest  int
	Output   [2]int // answer tokens, uniform between the two
	Deadline time.Duration
	Priority int
	Prefixed float64 // part of the prompts that begin with a shared prefix
}

// The length classes of both sites.
const (
	shortUpTo = 16_000
	engineMem = 400_000
	model     = "model"
)

// capacityOf is the saturated prefill rate of the site in tokens a second: every
// iteration of every engine carries a full chunk.
func (s *Site) capacity() float64 {
	c := engineConfig()
	iteration := c.DecodeStep.Seconds() + float64(c.Chunk)/c.PrefillRate
	return float64(s.Engines) * float64(c.Chunk) / iteration
}

func engineConfig() enginemodel.Config {
	c := enginemodel.DefaultConfig()
	c.MemoryTokens = engineMem
	c.FirstAndLastOnly = true
	return c
}

// tree is the part of the settings that the dispatchers use.
func (s *Site) tree() *settings.Tree {
	tree := &settings.Tree{
		Models:  []settings.Model{{Name: model, Spans: true}},
		Lengths: []settings.Length{{Name: "short", UpTo: shortUpTo}, {Name: "long", UpTo: 2_000_000, Long: true}},
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
