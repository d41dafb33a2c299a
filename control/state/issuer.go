package state

// Fence is the fencing token of engine orders: the term and index of the log entry that
// appointed the issuer. It increases with every new issuer.
type Fence struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Less reports whether f is older than other.
func (f Fence) Less(other Fence) bool {
	if f.Term != other.Term {
		return f.Term < other.Term
	}
	return f.Index < other.Index
}

// Issuer is the only instance that may send orders to engines. It may do so only while it
// also holds the leader lease.
type Issuer struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Fence       Fence  `json:"fence"`
}
