package entry

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"celeryport/request"
	"celeryport/verdict"
)

const (
	defaultOutputTokens = 256
	maxOutputTokens     = 32 << 10
)

// completions serves POST /v1/completions.
func (s *Server) completions(ctx *fasthttp.RequestCtx, id string) {
	in, err := s.admit(ctx, id, request.Prompt)
	if err != nil {
		s.refuse(ctx, in, err)
		return
	}
	raw, releaseBody, err := s.readBody(ctx, in.tree.Fleet.BodyLimit)
	if err != nil {
		s.refuse(ctx, in, err)
		return
	}
	body, err := in.parseCompletion(raw)
	if err == nil {
		err = s.checkLate(s.options.Clock.Now(), in.request)
	}
	if err != nil {
		releaseBody()
		s.refuse(ctx, in, err)
		return
	}
	in.request.Fingerprint = fingerprint(in.request, pathCompletions, raw)
	e := newExchange(in.request)
	e.prompt = body
	e.releaseBody = releaseBody
	s.serve(ctx, e, body.Stream)
}

// parseCompletion decodes and validates the body and fills in the fields of the
// request that depend on it.
func (in *incomingRequest) parseCompletion(raw []byte) (*completionBody, *verdict.Error) {
	body := &completionBody{MaxTokens: defaultOutputTokens}
	if err := json.Unmarshal(raw, body); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "the body is no JSON object of a completion")
	}
	if body.Prompt == "" || body.MaxTokens < 1 || body.MaxTokens > maxOutputTokens {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, 0, "a prompt and 1 to %d max_tokens are needed", maxOutputTokens)
	}
	if _, known := in.tree.Model(body.Model); !known {
		return nil, verdict.Refuse(verdict.ReasonNotFound, 0, "there is no model %q", body.Model)
	}
	r := in.request
	r.Target = body.Model
	r.OutputTokens = body.MaxTokens
	r.PromptTokens = request.EstimateTokens(len(body.Prompt))
	r.PrefixHash, r.PrefixTokens = request.Prefix(body.Prompt)
	r.Long = in.tree.Length(r.PromptTokens).Long
	if limit := in.resolved.Limits.PromptTokens; limit > 0 && r.PromptTokens > limit {
		return nil, verdict.Refuse(verdict.ReasonBodyTooLarge, 0, "the prompt has about %d tokens, %d are allowed", r.PromptTokens, limit)
	}
	return body, nil
}
