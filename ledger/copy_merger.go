package ledger

// CopyMerger stores the counters of all instances on a voter. The control server calls
// Merge for each CopyLedger call that it receives, from the goroutine of that call.
type CopyMerger interface {
	// Merge merges an encoded copy from an instance and returns the encoded position
	// up to which the account is synced to disk.
	Merge(encodedCopy []byte) (position []byte, err error)
}
