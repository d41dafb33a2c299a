package admission

// The retry budget of an organisation. The floor lets the first failures after a
// start be retried; the cap keeps hours of success from paying for a storm.
const (
	budgetFloor = 3
	budgetCap   = 20
)

// Budget bounds the retries of an organisation to a fraction of its successes.
// Without it every request of a failing fleet is sent several times, and the
// fleet, already short of capacity, gets a multiple of its load; one would see
// sends grow while answers fall.
type Budget struct {
	Ratio float64 // retries allowed for each success
	left  float64
}

// NewBudget returns a budget with its floor.
func NewBudget() Budget { return Budget{left: budgetFloor} }

// Success earns a fraction of a retry.
func (b *Budget) Success() { b.left = min(budgetCap, b.left+b.Ratio) }

// Spend takes one retry, if there is one.
func (b *Budget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
