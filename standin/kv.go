package standin

import (
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
)

// serveExport keeps the KV cache of a prefix for a transfer to another engine. The
// export ends when its lease expires or when it is cancelled.
func (e *Engine) serveExport(ctx *fasthttp.RequestCtx) {
	var r wire.KVExportRequest
	if !decode(ctx, &r) {
		return
	}
	if r.Request == "" || r.PrefixHash == 0 || r.LeaseMs < 0 {
		refuse(ctx, fasthttp.StatusBadRequest, "request, prefix or lease out of range")
		return
	}
	response := e.scheduler.export(time.Now(), &r)
	respondJSON(ctx, &response)
}

// serveImport imports the KV cache of a prefix that another engine exported.
func (e *Engine) serveImport(ctx *fasthttp.RequestCtx) {
	var r wire.KVImportRequest
	if !decode(ctx, &r) {
		return
	}
	if r.PrefixHash == 0 || r.Tokens <= 0 {
		refuse(ctx, fasthttp.StatusBadRequest, "prefix or tokens out of range")
		return
	}
	response := e.scheduler.importKV(time.Now(), &r)
	respondJSON(ctx, &response)
}

func (s *scheduler) export(now time.Time, r *wire.KVExportRequest) wire.KVExportResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeUp()
	at := s.scale.model(now)
	tokens := s.model.Cached(at, r.PrefixHash)
	if tokens == 0 {
		return wire.KVExportResponse{}
	}
	lease := s.scale.modelDuration(time.Duration(r.LeaseMs) * time.Millisecond)
	granted, _ := s.model.Export(at, jobID(r.Request, r.Attempt), r.Owner, tokens, lease)
	if !granted {
		return wire.KVExportResponse{}
	}
	return wire.KVExportResponse{Granted: true, Tokens: tokens}
}

func (s *scheduler) importKV(now time.Time, r *wire.KVImportRequest) wire.KVImportResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.KVImportResponse{Imported: s.model.Import(s.scale.model(now), r.PrefixHash, r.Tokens)}
}
