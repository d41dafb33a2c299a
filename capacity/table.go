package capacity

import (
	"fmt"
	"strings"
)

// table renders rows as a table of the page.
func table(rows []Row) string {
	var b strings.Builder
	b.WriteString("| quantity | at the target | limit | margin | worked out as | carried by | carries it |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n",
			r.Quantity, r.value(), r.limit(), r.margin(), orDash(r.Formula), r.Mechanism, r.verdict())
	}
	return b.String()
}

func (r Row) value() string {
	if r.Unknown {
		return "not measured"
	}
	return r.Unit.format(r.Value)
}

func (r Row) limit() string {
	if r.Limit == 0 {
		return "-"
	}
	return r.Unit.format(r.Limit)
}

// margin says what is left, or by how much and how many times the limit is
// exceeded.
func (r Row) margin() string {
	margin, ok := r.Margin()
	switch {
	case !ok:
		return "-"
	case margin >= 0:
		return percent(margin) + " left"
	}
	return fmt.Sprintf("**over by %s** (%s times)", r.Unit.format(r.Value-r.Limit), number(r.Value/r.Limit))
}

// verdict says whether today's mechanism carries the target, and where it ends.
func (r Row) verdict() string {
	switch {
	case r.Unknown:
		return "not known"
	case r.Planned:
		return "does not carry it yet"
	case !r.Carries:
		return "**does not carry it yet**; " + r.Remark()
	case r.Breaks != "":
		return "yes, by extrapolation; " + r.Remark()
	case r.Limit == 0:
		return "no limit given; not tried at this size"
	}
	return "yes, by extrapolation"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
