package ledger

import (
	"encoding/csv"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

var csvHead = []string{
	"organisation", "class", "kind", "target", "received", "carried_in", "served", "late", "refused",
	"failed", "in_flight", "unknown", "prompt_tokens", "cached_tokens", "answer_tokens", "refused_by", "failed_by",
}

// WriteCSV writes one line for each combination of organisation, class and target.
func (r *Report) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	if err := c.Write(csvHead); err != nil {
		return errors.Wrap(err, "writing the report")
	}
	for i := range r.Rows {
		if err := c.Write(r.Rows[i].csv()); err != nil {
			return errors.Wrap(err, "writing the report")
		}
	}
	c.Flush()
	return errors.Wrap(c.Error(), "writing the report")
}

func (r *Row) csv() []string {
	var refused, failed []string
	for _, x := range r.RefusedBy {
		refused = append(refused, fmt.Sprintf("%s=%d", x.Reason, x.Count))
	}
	for _, x := range r.FailedBy {
		failed = append(failed, fmt.Sprintf("%s/%s=%d", x.Reason, x.Verdict, x.Count))
	}
	return []string{
		r.Organisation, r.Class, r.Kind, r.Target, formatUint(r.Received), formatInt(r.CarriedIn), formatUint(r.Served),
		formatUint(r.Late), formatUint(r.Refused), formatUint(r.Failed), formatInt(r.InFlight), formatInt(r.Unknown),
		formatUint(r.PromptTokens), formatUint(r.CachedTokens), formatUint(r.AnswerTokens),
		strings.Join(refused, " "), strings.Join(failed, " "),
	}
}
