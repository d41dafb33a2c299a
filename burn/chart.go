package burn

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	svg "github.com/ajstarks/svgo"
)

// Sizes of a chart, in pixels.
const (
	chartWidth   = 560
	chartHeight  = 200
	marginLeft   = 52
	marginRight  = 12
	marginTop    = 10
	marginBottom = 34
	labelGap     = 5
	fontSize     = 11
	yearless     = "01-02 15:04"
	timeTicks    = 5 // intervals between the labels of the time axis
	rateTicks    = 4 // intervals between the labels of the rate axis
)

const (
	axisStyle  = "stroke:black;stroke-width:1"
	rateStyle  = "fill:none;stroke:black;stroke-width:2"
	dashStyle  = "stroke:black;stroke-width:1;stroke-dasharray:4,4"
	labelStyle = "font-family:sans-serif;font-size:11px;text-anchor:"
)

// chart draws the hourly burn rate and a line at 1, the rate that spends the budget
// exactly within its period.
//
// It uses a library that only writes SVG elements. A plotting library parses its fonts when the
// process starts, which costs each instance several megabytes although few draw charts.
func (o *Objective) chart() markup {
	var b bytes.Buffer
	canvas := svg.New(&b)
	canvas.Start(chartWidth, chartHeight)
	s := scaleOf(o.History)
	left, right, bottom := marginLeft, chartWidth-marginRight, chartHeight-marginBottom
	canvas.Line(left, marginTop, left, bottom, axisStyle)
	canvas.Line(left, bottom, right, bottom, axisStyle)
	for i := range rateTicks + 1 {
		rate := s.highest * float64(i) / rateTicks
		canvas.Text(left-labelGap, s.y(rate)+fontSize/2, strconv.FormatFloat(rate, 'g', 3, 64), labelStyle+"end")
	}
	canvas.Text(left+labelGap, marginTop+fontSize, "burn rate", labelStyle+"start")
	if len(o.History) > 0 {
		for i := range timeTicks + 1 {
			at := s.first.Add(s.span * time.Duration(i) / timeTicks)
			canvas.Text(s.x(at), bottom+fontSize+labelGap, at.UTC().Format(yearless), labelStyle+anchorOf(i))
		}
		canvas.Line(left, s.y(1), right, s.y(1), dashStyle)
		x, y := s.steps(o.History)
		canvas.Polyline(x, y, rateStyle)
	}
	canvas.End()
	return stripXMLHeader(b.String())
}

// anchorOf returns the text anchor of a label of the time axis: the first and the last one must
// not extend beyond the drawing.
func anchorOf(tick int) string {
	switch tick {
	case 0:
		return "start"
	case timeTicks:
		return "end"
	default:
		return "middle"
	}
}

// stripXMLHeader removes everything before the svg element, since an XML declaration
// is not allowed inside HTML. The conversion to markup is safe because the
// drawing contains only numbers and constant texts.
func stripXMLHeader(drawing string) markup {
	if i := strings.Index(drawing, "<svg"); i > 0 {
		drawing = drawing[i:]
	}
	return markup(drawing)
}
