package agreement

import "time"

// Rules determine which voters may decide.
type Rules struct {
	Voters []string // control addresses of the founding voters
	// Majority allows a majority of initial voters to decide. It requires that a voter which lost its disk
	// is never started again with settings that let it found a group.
	Majority bool
	Wait     time.Duration // until voters decide without the others
}

// majority reports whether a number of initial voters is a majority of all.
func (r *Rules) majority(initial int) bool { return initial > len(r.Voters)/2 }

// quorum reports whether voters may decide, among them a number of initial ones.
func (r *Rules) quorum(voters, initial int) bool {
	return voters == len(r.Voters) || r.Majority && r.majority(initial)
}

// Present states what a voter said of itself.
type Present struct {
	Initial bool
	Awaits  bool // it awaits the founding and may propose
}

// Wait determines when a voter proposes.
type Wait struct {
	since time.Time // from which on the voters that answered were a quorum, zero if they are none
}

// Round evaluates one round of questions to all voters. The result is the address of the voter that is to
// propose, empty if no proposal is due, and whether it may do so without the others. A proposal is due at
// once if all voters answered and a majority of them is initial.
func (w *Wait) Round(now time.Time, rules *Rules, present map[string]Present) (proposer string, partial bool) {
	initial := 0
	for _, p := range present {
		if p.Initial {
			initial++
		}
	}
	if !rules.quorum(len(present), initial) {
		w.since = time.Time{}
		return "", false
	}
	if w.since.IsZero() {
		w.since = now
	}
	partial = now.Sub(w.since) >= rules.Wait
	complete := len(present) == len(rules.Voters) && rules.majority(initial)
	if !complete && !partial {
		return "", false
	}
	return Founder(rules, present), partial
}

// Founder returns the address of the first voter that answered and awaits the founding, empty if none does.
func Founder(rules *Rules, present map[string]Present) string {
	for _, address := range rules.Voters {
		if present[address].Awaits {
			return address
		}
	}
	return ""
}
