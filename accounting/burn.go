package accounting

import (
	"bytes"
	"context"
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"

	"celeryport/burn"
	"celeryport/ledger"
	"celeryport/settings"
	"celeryport/verdict"
)

const (
	bearerPrefix   = "Bearer "
	basicChallenge = `Basic realm="celeryport operators"`
	htmlType       = "text/html; charset=utf-8"
	jsonType       = "application/json"
	textType       = "text/plain; charset=utf-8"
)

// Burn computes the error budget burn over all instances.
func (r *Reporter) Burn(ctx context.Context) (*burn.Table, error) {
	view := r.opts.View()
	if view == nil || view.Tree == nil {
		return nil, verdict.Refuse(verdict.ReasonNoLease, 0, "this instance has no settings tree yet")
	}
	fleet := r.gather(ctx)
	now := r.opts.Clock.Now()
	report := ledger.NewReport(fleet.input(ledger.Query{}, now))
	return burn.Compute(burn.Input{Now: now, Tree: view.Tree, State: fleet.state, Unknown: len(report.Unknown)}), nil
}

func (r *Reporter) handleBurn(ctx context.Context, _ []byte) ([]byte, error) {
	table, err := r.Burn(ctx)
	if err != nil {
		return nil, err
	}
	return encodeBody(table)
}

// BurnHandler returns the handler of GET /burn, which requires an operator key. It
// responds with an HTML page, or with a table if ?output=json or ?output=text is
// given.
func (r *Reporter) BurnHandler(operatorKeys []string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
		if !settings.MatchKey(presentedKey(header), operatorKeys) {
			ctx.Error("an operator key is needed, as bearer token or as password", http.StatusUnauthorized)
			ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, basicChallenge)
			return
		}
		r.writeBurn(ctx)
	}
}

// presentedKey returns the key of an Authorization header: a bearer token, or the
// password of basic authentication, which browsers use.
func presentedKey(header string) string {
	if key, found := strings.CutPrefix(header, bearerPrefix); found {
		return key
	}
	basic := http.Request{Header: http.Header{fasthttp.HeaderAuthorization: {header}}}
	_, password, _ := basic.BasicAuth()
	return password
}

func (r *Reporter) writeBurn(ctx *fasthttp.RequestCtx) {
	table, err := r.Burn(ctx)
	if err != nil {
		ctx.Error(err.Error(), verdict.From(err).Reason.Status())
		return
	}
	var body bytes.Buffer
	contentType := htmlType
	switch string(ctx.QueryArgs().Peek("output")) {
	case "json":
		contentType = jsonType
		err = table.WriteJSON(&body)
	case "text":
		contentType = textType
		err = table.WriteText(&body)
	default:
		err = table.WriteHTML(&body)
	}
	if err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	ctx.SetContentType(contentType)
	ctx.SetBody(body.Bytes())
}
