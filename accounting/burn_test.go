package accounting

import (
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

func TestBurnPageRequiresAnOperatorKey(t *testing.T) {
	f := newFleetOf(t, 1, 0)
	countServed(f, f.instances[0], 5)
	const key = "example-only-operator-key"
	handler := f.instances[0].reporter.BurnHandler([]string{key})
	cases := []struct {
		name, header, query string
		status              int
		want                string
	}{
		{"no key", "", "", http.StatusUnauthorized, "operator key"},
		{"a caller's key", "Bearer example-only-caller-key", "", http.StatusUnauthorized, "operator key"},
		{"an empty key", "Bearer ", "", http.StatusUnauthorized, "operator key"},
		{"a bearer token", "Bearer " + key, "", http.StatusOK, "<svg"},
		{"a browser's password", "Basic b3A6ZXhhbXBsZS1vbmx5LW9wZXJhdG9yLWtleQ==", "", http.StatusOK, "<svg"},
		{"as JSON", "Bearer " + key, "output=json", http.StatusOK, `"objectives"`},
		{"as text", "Bearer " + key, "output=text", http.StatusOK, "BUDGET LEFT"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var ctx fasthttp.RequestCtx
			ctx.Request.Header.Set(fasthttp.HeaderAuthorization, c.header)
			ctx.Request.URI().SetQueryString(c.query)
			handler(&ctx)
			if got := ctx.Response.StatusCode(); got != c.status {
				t.Errorf("status %d", got)
			}
			if !strings.Contains(string(ctx.Response.Body()), c.want) {
				t.Errorf("no %q in %.200s", c.want, ctx.Response.Body())
			}
			if c.status == http.StatusUnauthorized && len(ctx.Response.Header.Peek(fasthttp.HeaderWWWAuthenticate)) == 0 {
				t.Error("no WWW-Authenticate header, so browsers do not prompt for the key")
			}
		})
	}
}
