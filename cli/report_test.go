package cli

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"celeryport/accounting"
	"celeryport/burn"
	"celeryport/ledger"
	"celeryport/rpc"
	"celeryport/verdict"
)

// cannedInstance answers operators' commands with fixed reports.
type cannedInstance struct {
	rpc.Control
	queries []ledger.Query
}

// Operate implements rpc.Control.
func (c *cannedInstance) Operate(_ context.Context, in *rpc.OperateRequest) (*rpc.OperateResponse, error) {
	var answer any
	switch in.Command {
	case accounting.CommandReport:
		var query ledger.Query
		if err := json.Unmarshal(in.Body, &query); err != nil {
			return nil, err
		}
		c.queries = append(c.queries, query)
		answer = cannedReport()
	case accounting.CommandBurn:
		answer = &burn.Table{At: time.Unix(0, 0)}
	default:
		return nil, rpc.ToTwirp(verdict.Refuse(verdict.ReasonNotFound, 0, "unknown command"))
	}
	body, err := json.Marshal(answer)
	return &rpc.OperateResponse{Body: body}, err
}

func cannedReport() *ledger.Report {
	row := ledger.Row{
		Organisation: "atelier", Class: "counter", Kind: "model", Target: "sarto", Received: 10, Served: 7,
		Refused: 2, RefusedBy: []ledger.Refusal{{Reason: verdict.ReasonShare, Count: 2}}, Unknown: 1,
	}
	return &ledger.Report{
		At: time.Unix(0, 0), Total: row, ByOrg: []ledger.Row{row}, Rows: []ledger.Row{row},
		Latencies: []ledger.Latency{{Class: "counter", Measure: ledger.FirstToken, Count: 7, P50: 80 * time.Millisecond}},
		Unknown:   []ledger.UnknownEnd{{Instance: "two", Incarnation: 3, Since: time.Unix(60, 0), Reason: ledger.EndDead}},
	}
}

// serveCannedReports serves a cannedInstance on loopback and writes the operator key to a file.
func serveCannedReports(t *testing.T) (c *cannedInstance, address, keyFile string) {
	t.Helper()
	c = &cannedInstance{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const key = "example-only-operator-key"
	keys := rpc.Keys{Instance: "example-only-instance-key", Operators: []string{key}}
	server := &http.Server{Handler: rpc.Authenticate(keys, rpc.NewControlServer(c))}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	keyFile = filepath.Join(t.TempDir(), "operator.key")
	if err := os.WriteFile(keyFile, []byte(key+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return c, listener.Addr().String(), keyFile
}

func TestReportAndBurn(t *testing.T) {
	canned, address, keyFile := serveCannedReports(t)
	wrong := filepath.Join(t.TempDir(), "wrong.key")
	if err := os.WriteFile(wrong, []byte("example-only-wrong-key"), 0o600); err != nil {
		t.Fatal(err)
	}
	const refused = "127.0.0.1:1" // nothing listens there
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"table", []string{"report", "--to", address, "--key-file", keyFile}, ExitDone, "what these instances counted since is not in the report"},
		{"the first address is dead", []string{"report", "--to", refused + "," + address, "--key-file", keyFile}, ExitDone, "atelier"},
		{"csv", []string{"report", "--to", address, "--key-file", keyFile, "--output", "csv"}, ExitDone, "atelier,counter,model,sarto,10,0,7,0,2,0,0,1,0,0,0,share=2,"},
		{"json", []string{"report", "--to", address, "--key-file", keyFile, "--output", "json"}, ExitDone, `"received": 10`},
		{"restricted", []string{"report", "--to", address, "--key-file", keyFile, "--since", "30m", "--organisation", "atelier", "--class", "counter"}, ExitDone, "atelier"},
		{"a wrong key", []string{"report", "--to", address, "--key-file", wrong}, ExitUsage, ""},
		{"no address", []string{"report", "--key-file", keyFile}, ExitUsage, ""},
		{"a wrong time", []string{"report", "--to", address, "--key-file", keyFile, "--since", "yesterday"}, ExitUsage, ""},
		{"nobody answers", []string{"report", "--to", refused, "--key-file", keyFile, "--timeout", "1ms"}, ExitFailed, ""},
		{"burn", []string{"burn", "--to", address, "--key-file", keyFile}, ExitDone, "nothing missed an objective"},
		{"burn as a page", []string{"burn", "--to", address, "--key-file", keyFile, "--output", "html"}, ExitDone, "<h1>Service-level burn</h1>"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := run(c.args...)
			if code != c.code || !strings.Contains(stdout, c.want) {
				t.Errorf("code %d\n%s%s", code, stdout, stderr)
			}
		})
	}
	last := canned.queries[len(canned.queries)-1]
	if last.Organisation != "atelier" || last.Class != "counter" || last.Since.IsZero() {
		t.Errorf("the instance did not receive the filters: %+v", last)
	}
}
