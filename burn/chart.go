package burn

import (
	"bytes"
	"html/template"
	"math"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	chartWidth  = vg.Length(420) // points
	chartHeight = vg.Length(150)
	lineWidth   = vg.Length(1.5)
	dashLength  = vg.Length(3)
)

// chart draws the hourly burn rate and a line at 1, the rate that spends the budget
// exactly within its period.
func (o *Objective) chart() (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Format: "01-02\n15:04"}
	if err := o.addLines(p); err != nil {
		return "", err
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", errors.Wrap(err, "drawing a chart")
	}
	return stripXMLHeader(b.String()), nil
}

func (o *Objective) addLines(p *plot.Plot) error {
	rates := make(plotter.XYs, 0, len(o.History))
	for _, point := range o.History {
		rates = append(rates, plotter.XY{X: float64(point.At.Unix()), Y: point.Rate})
	}
	if len(rates) == 0 {
		return nil
	}
	line, err := plotter.NewLine(rates)
	if err != nil {
		return errors.Wrap(err, "drawing a line")
	}
	line.StepStyle = plotter.PostStep
	line.Width = lineWidth
	sustainable := plotter.NewFunction(func(float64) float64 { return 1 })
	sustainable.Dashes = []vg.Length{dashLength, dashLength}
	p.Add(line, sustainable)
	p.Y.Max = math.Max(p.Y.Max, 1)
	return nil
}

// stripXMLHeader removes everything before the svg element, since an XML declaration
// is not allowed inside HTML. The conversion to template.HTML is safe because the
// drawing contains only numbers and constant texts.
func stripXMLHeader(svg string) template.HTML {
	if i := strings.Index(svg, "<svg"); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg)
}
