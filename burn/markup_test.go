package burn

import "testing"

// Guards against names of organisations that are taken as HTML by the browser of an operator.
func TestValuesOfAPageAreEscaped(t *testing.T) {
	var d document
	d.add("<td>%s</td><td>%s</td>%s", `<b onclick="x">&'`, 7, markup("<svg/>"))
	if got, want := d.text.String(), "<td>&lt;b onclick=&#34;x&#34;&gt;&amp;&#39;</td><td>7</td><svg/>"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
