package agreement

import "celeryport/consensus"

// absentPrefix begins the ID of the member that stands for a voter whose data folder is not known. IDs of
// folders end with random hexadecimal digits, not with an address.
const absentPrefix = "absent:"

// Proposal is one attempt to have a founding configuration decided. Its ballot must be in use for no other
// proposal; the proposer grants its own requests first and stores that.
type Proposal struct {
	rules    Rules
	ballot   Ballot
	partial  bool
	known    map[string]consensus.ID
	promises map[string]Answer
	accepts  map[string]Answer
	value    *consensus.Configuration
}

// NewProposal returns a proposal that has not been sent. Without partial it goes on only if all voters
// promise. Known contains the folder IDs that voters stated earlier, by control address.
func NewProposal(rules Rules, ballot Ballot, partial bool, known map[string]consensus.ID) *Proposal {
	return &Proposal{
		rules: rules, ballot: ballot, partial: partial, known: known,
		promises: map[string]Answer{}, accepts: map[string]Answer{},
	}
}

// Request returns the request for the present phase.
func (p *Proposal) Request() Request {
	return Request{Ballot: p.ballot, Voters: p.rules.Voters, Value: p.value}
}

// Promised counts the answer of the voter at an address to the request for a promise.
func (p *Proposal) Promised(address string, a Answer) {
	if p.value == nil {
		add(p.promises, address, a)
	}
}

// Prepare fixes the value once enough voters have promised, and reports whether the request for its
// acceptance may be sent.
func (p *Proposal) Prepare() bool {
	if p.value != nil {
		return true
	}
	initial := countInitial(p.promises)
	complete := len(p.promises) == len(p.rules.Voters) && p.rules.majority(initial)
	if !complete && (!p.partial || !p.rules.quorum(len(p.promises), initial)) {
		return false
	}
	p.value = p.choose()
	return true
}

// Accepted counts the answer of the voter at an address to the request to accept the value.
func (p *Proposal) Accepted(address string, a Answer) {
	add(p.accepts, address, a)
}

// add counts an answer once for each data folder, which may have moved to another address.
func add(answers map[string]Answer, address string, a Answer) {
	for at, other := range answers {
		if at != address && other.ID == a.ID {
			return
		}
	}
	if a.Granted {
		answers[address] = a
	}
}

// Chosen returns the founding configuration once it is decided, nil before.
func (p *Proposal) Chosen() *consensus.Configuration {
	if p.value == nil || !p.rules.quorum(len(p.accepts), countInitial(p.accepts)) {
		return nil
	}
	return p.value
}

// choose returns the value that may have been decided already, or else a new one. A voter that did not
// answer stays a member, so that a majority of the group is a majority of all founding voters.
func (p *Proposal) choose() *consensus.Configuration {
	var highest Ballot
	var value *consensus.Configuration
	for _, a := range p.promises {
		if a.Value != nil && highest.Less(a.Accepted) {
			highest, value = a.Accepted, a.Value
		}
	}
	if value != nil {
		return value
	}
	value = &consensus.Configuration{}
	for _, address := range p.rules.Voters {
		id := p.promises[address].ID
		if id == "" {
			id = p.known[address]
		}
		if id == "" {
			id = consensus.ID(absentPrefix + address)
		}
		value.Voters = append(value.Voters, consensus.Member{ID: id, Address: address})
	}
	return value
}

func countInitial(answers map[string]Answer) int {
	count := 0
	for _, a := range answers {
		if a.Initial {
			count++
		}
	}
	return count
}
