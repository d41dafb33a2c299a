package resend

import "time"

const (
	// slackCapacity and slackIncomePerWindow are fractions of an instance's share of the slack. A
	// process starts without any. Whatever its predecessors spent, in no window more than the sum of
	// both is spent: what was there when the window began, and what is earned within it. The rest
	// leaves room for instances that briefly disagree on their number.
	slackCapacity        = 0.65
	slackIncomePerWindow = 0.3
)

// slackIncome is the slack that an instance has earned for each service since its process started.
type slackIncome struct {
	at       time.Time // until when it is accounted for
	earned   float64   // repeats
	capacity float64   // most repeats that a service may save
}

// add accounts for the time until now. share is this instance's part of the slack.
func (i *slackIncome) add(now time.Time, window time.Duration, share float64) {
	if window <= 0 || !now.After(i.at) {
		return
	}
	i.earned += slackIncomePerWindow * share * float64(now.Sub(i.at)) / float64(window)
	i.capacity = slackCapacity * share
	i.at = now
}

// skip passes over the time until now, in which nothing is earned: an instance that does not know all
// others would take their parts for its own.
func (i *slackIncome) skip(now time.Time) {
	if now.After(i.at) {
		i.at = now
	}
}

// slackBalance is what a service has left.
type slackBalance struct {
	amount  float64 // repeats
	settled float64 // income until which it is settled
}

// settle adds what was earned since the last time, up to the capacity.
func (b *slackBalance) settle(income *slackIncome) {
	b.amount = min(income.capacity, b.amount+income.earned-b.settled)
	b.settled = income.earned
}
