package ledger

// Store keeps the counters of all instances on a voter, under its data folder.
// Control calls Merge for each CopyLedger that arrives, on a traffic goroutine.
type Store interface {
	// Merge takes an encoded copy from an instance and returns the encoded
	// position up to which the copy is synced here.
	Merge(encodedCopy []byte) (position []byte, err error)
}
