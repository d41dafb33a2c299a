package wire

// KVExportRequest asks an engine to hold the KV cache of a prefix for a fetch by
// another engine. It is leased like a reservation; a lease of 0 frees it.
type KVExportRequest struct {
	Request    string `json:"request"`
	Attempt    uint32 `json:"attempt"`
	Owner      string `json:"owner"`
	PrefixHash uint64 `json:"prefix_hash"`
	LeaseMs    int64  `json:"lease_ms"`
}

// KVExportResponse answers a KVExportRequest. Granted is false when the prefix
// is not cached any more or memory lacks.
type KVExportResponse struct {
	Granted bool `json:"granted"`
	Tokens  int  `json:"tokens"`
}

// KVImportRequest gives an engine the KV cache of a prefix that another one
// exported.
type KVImportRequest struct {
	Request    string `json:"request"`
	Owner      string `json:"owner"`
	PrefixHash uint64 `json:"prefix_hash"`
	Tokens     int    `json:"tokens"`
}

// KVImportResponse answers a KVImportRequest.
type KVImportResponse struct {
	Imported bool `json:"imported"`
}
