package admission

// The retry budget of an organisation. It starts at budgetFloor, so that the first failures
// after a start can be retried; budgetCap keeps hours of success from paying for a retry storm.
const (
	budgetFloor = 3
	budgetCap   = 20
)

// Budget limits the retries of an organisation to a fraction of its successes. Without it, every
// request to a failing fleet is sent several times, which multiplies the load on a fleet that
// already lacks capacity; the sends grow while the answers decrease.
type Budget struct {
	Ratio float64 // retries earned by each success
	left  float64
}

// NewBudget returns a budget with the initial retries.
func NewBudget() Budget { return Budget{left: budgetFloor} }

// Success earns a fraction of a retry.
func (b *Budget) Success() { b.left = min(budgetCap, b.left+b.Ratio) }

// Spend uses one retry, if one is left.
func (b *Budget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
