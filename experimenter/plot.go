package experimenter

import (
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// linePlot is a line plot that is saved as a PNG file.
type linePlot struct {
	title, x, y, file string
	lines             []line
}

type line struct {
	name   string
	points []point
}

type point struct{ x, y float64 }

// add adds a line, unless it has no points.
func (p *linePlot) add(l line) {
	if len(l.points) > 0 {
		p.lines = append(p.lines, l)
	}
}

func (p linePlot) save(directory string) error {
	const width, height = 18 * vg.Centimeter, 9 * vg.Centimeter
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = p.title, p.x, p.y
	chart.Legend.Top = true
	chart.Y.Min = 0
	var arguments []any
	for _, l := range p.lines {
		points := make(plotter.XYs, len(l.points))
		for i, at := range l.points {
			points[i] = plotter.XY{X: at.x, Y: at.y}
		}
		arguments = append(arguments, l.name, points)
	}
	if err := plotutil.AddLines(chart, arguments...); err != nil {
		return errors.Wrap(err, p.title)
	}
	return errors.Wrap(chart.Save(width, height, filepath.Join(directory, p.file)), p.title)
}
