package state

// Fence is the fencing number of engine orders: the term and the index of the
// log entry that made the issuer. It grows with each new issuer.
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

// Issuer is the one instance that may order engines, as long as it also holds
// the leader's lease.
type Issuer struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Fence       Fence  `json:"fence"`
}
