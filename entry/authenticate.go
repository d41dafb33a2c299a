package entry

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"celeryport/settings"
	"celeryport/verdict"
)

var bearerPrefix = []byte("Bearer ")

// bearer returns the key that a request presents, empty if none.
func bearer(ctx *fasthttp.RequestCtx) string {
	header := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	if len(header) <= len(bearerPrefix) || !bytes.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return string(header[len(bearerPrefix):])
}

// authenticate names the organisation of a caller.
func authenticate(ctx *fasthttp.RequestCtx, tree *settings.Tree) (string, *verdict.Error) {
	organisation, ok := tree.Authenticate(bearer(ctx))
	if !ok {
		return "", verdict.Refuse(verdict.ReasonUnauthorized, 0, "the key names no organisation")
	}
	return organisation, nil
}
