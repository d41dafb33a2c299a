package wire

// KVExportRequest asks an engine to keep the KV cache of a prefix available for a
// transfer to another engine. The export has a lease like a reservation; a lease
// of 0 releases it.
type KVExportRequest struct {
	Request    string `json:"request"`
	Attempt    uint32 `json:"attempt"`
	Owner      string `json:"owner"`
	PrefixHash uint64 `json:"prefix_hash"`
	LeaseMs    int64  `json:"lease_ms"`
}

// KVExportResponse is the answer to a KVExportRequest. Granted is false if the
// prefix is no longer cached or there is not enough free memory.
type KVExportResponse struct {
	Granted bool `json:"granted"`
	Tokens  int  `json:"tokens"`
}

// KVImportRequest tells an engine to import the KV cache of a prefix that another
// engine exported.
type KVImportRequest struct {
	Request    string `json:"request"`
	Owner      string `json:"owner"`
	PrefixHash uint64 `json:"prefix_hash"`
	Tokens     int    `json:"tokens"`
}

// KVImportResponse is the answer to a KVImportRequest.
type KVImportResponse struct {
	Imported bool `json:"imported"`
}
