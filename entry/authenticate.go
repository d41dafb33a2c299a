package entry

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"celeryport/settings"
	"celeryport/verdict"
)

var bearerPrefix = []byte("Bearer ")

// bearerKey returns the API key in the Authorization header of a request, or "" if
// there is none.
func bearerKey(ctx *fasthttp.RequestCtx) string {
	header := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	if len(header) <= len(bearerPrefix) || !bytes.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return string(header[len(bearerPrefix):])
}

// authenticate returns the organisation to which the caller's key belongs.
func authenticate(ctx *fasthttp.RequestCtx, tree *settings.Tree) (string, *verdict.Error) {
	organisation, ok := tree.Authenticate(bearerKey(ctx))
	if !ok {
		return "", verdict.Refuse(verdict.ReasonUnauthorized, 0, "the key names no organisation")
	}
	return organisation, nil
}
