package dispatch

import (
	"math/rand/v2"
	"time"

	"celeryport/admission"
	"celeryport/quota"
	"celeryport/request"
	"celeryport/routing"
	"celeryport/settings"
	"celeryport/upstream"
	"celeryport/verdict"
)

// Scheduler is the production policy. See docs/ROUTING.md.
type Scheduler struct {
	config Config
	random *rand.Rand

	table    *routing.Table
	accounts map[string]*admission.Account
	ordered  []*admission.Account // in order of creation
	classes  map[string]*class
	lanes    map[string]*lanes
	targets  []*lanes // in order of creation
	spans    map[string]bool
	services map[string]int // limit of calls in flight on one upstream, by service

	jobs            map[string]*job
	deadlines       deadlines
	backoffs        []*job
	freeJobs        []*job
	actions         []Action
	actionsReturned bool // the actions were returned by Actions
	lastStep        time.Time
	tickets         []*admission.Ticket
}

var _ Dispatcher = (*Scheduler)(nil)

// New returns a scheduler without upstreams and settings. All random choices
// are drawn from random.
func New(cfg Config, random *rand.Rand) *Scheduler {
	return &Scheduler{
		config:   cfg.withDefaults(),
		random:   random,
		table:    routing.NewTable(),
		accounts: map[string]*admission.Account{},
		classes:  map[string]*class{},
		lanes:    map[string]*lanes{},
		spans:    map[string]bool{},
		services: map[string]int{},
		jobs:     map[string]*job{},
	}
}

// Configure implements Dispatcher.
func (s *Scheduler) Configure(now time.Time, tree *settings.Tree) {
	s.begin()
	for i := range tree.Organisations {
		o := &tree.Organisations[i]
		s.account(o.Name).Configure(o.Weight, o.RetryRatio, o.Limits.TokensPerSecond, o.Limits.InFlight)
	}
	for i := range tree.Classes {
		c := &tree.Classes[i]
		kept := s.class(c.Name)
		kept.queueLimit, kept.configured = c.QueueLimit, true
	}
	clear(s.spans)
	for i := range tree.Models {
		s.spans[tree.Models[i].Name] = tree.Models[i].Spans
	}
	clear(s.services)
	for i := range tree.Services {
		s.services[tree.Services[i].Name] = tree.Services[i].InFlight
	}
	s.pump(now)
}

// Observe implements Dispatcher.
func (s *Scheduler) Observe(now time.Time, view *upstream.Snapshot) {
	s.begin()
	s.table.Observe(now, view)
	s.sizeLanes(now)
	s.pump(now)
}

// ApplyGrants implements Dispatcher.
func (s *Scheduler) ApplyGrants(now time.Time, grants []quota.Grant) {
	s.begin()
	for _, g := range grants {
		s.table.SetPeers(g.Rank, g.Peers)
		s.account(g.Organisation).Granted(now, g)
	}
	s.pump(now)
}

// Demands implements Dispatcher.
func (s *Scheduler) Demands(now time.Time) []quota.Demand {
	demands := make([]quota.Demand, 0, len(s.ordered))
	for _, a := range s.ordered {
		demands = append(demands, a.Demand(now))
	}
	return demands
}

// Actions implements Dispatcher.
func (s *Scheduler) Actions() []Action {
	s.begin()
	s.actionsReturned = true
	return s.actions
}

// OutlierChanges implements Dispatcher.
func (s *Scheduler) OutlierChanges() []OutlierChange { return s.table.OutlierChanges() }

// begin starts a call and discards actions that were already returned.
func (s *Scheduler) begin() {
	if s.actionsReturned {
		clear(s.actions)
		s.actions = s.actions[:0]
		s.actionsReturned = false
	}
}

func (s *Scheduler) account(name string) *admission.Account {
	a := s.accounts[name]
	if a == nil {
		a = admission.NewAccount(name)
		s.accounts[name] = a
		s.ordered = append(s.ordered, a)
	}
	return a
}

func (s *Scheduler) class(name string) *class {
	c := s.classes[name]
	if c == nil {
		c = &class{name: name}
		s.classes[name] = c
	}
	return c
}

func (s *Scheduler) lanesOf(target string) *lanes {
	l := s.lanes[target]
	if l == nil {
		l = newLanes(target)
		s.lanes[target] = l
		s.targets = append(s.targets, l)
	}
	return l
}

func (s *Scheduler) refuse(r *request.Request, err *verdict.Error) {
	s.actions = append(s.actions, Action{Kind: Refuse, Request: r, Attempt: r.Attempt, Err: err})
}
