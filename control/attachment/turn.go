package attachment

// turn is the place in the order of voters at which the next search begins. A search asks one
// voter after another and ends after a fixed time, so that one which always began with the
// first voters would never reach the last ones while the first ones do not answer.
type turn struct {
	unanswered int // voters that were asked without an answer since one answered
}

// of returns the order for the next search.
func (t turn) of(order []string) []string {
	if len(order) == 0 {
		return nil
	}
	at := t.unanswered % len(order)
	return append(append([]string(nil), order[at:]...), order[:at]...)
}

// SearchOrder returns the order in which to ask the voters, which are listed in the order of
// preference. Those that did not answer the last searches come last.
func (c *Choice) SearchOrder(order []string) []string { return c.turn.of(order) }

// RecordSearch records that a search asked a number of voters and none of them answered.
func (c *Choice) RecordSearch(asked int) { c.turn.unanswered += asked }
