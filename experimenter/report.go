package experimenter

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// saved is the part of a saved result that the report shows. Results of other experiments have no customers.
type saved struct {
	Experiment string          `json:"experiment"`
	Seed       uint64          `json:"seed"`
	Customers  []savedCustomer `json:"customers"`
	Missed     []string        `json:"missed"`
	file       string
}

type savedCustomer struct {
	Customer string    `json:"customer"`
	Policy   savedRun  `json:"policy"`
	Baseline *savedRun `json:"baseline"`
}

type savedRun struct {
	Cases           []floodFigures         `json:"cases"`
	Ranks           map[string]rankService `json:"ranks"`
	WeightedService float64                `json:"weighted_service"`
	Failed          uint64                 `json:"failed"`
	Figures         map[string]float64     `json:"figures"`
	Series          map[string][]moment    `json:"series"`
}

// Report reads the results saved as *.json in a directory and writes report.md with plots there. It returns the path of
// the page. A file whose last line is no result is an error; one of an experiment without customers is left out.
func Report(directory string) (string, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return "", err
	}
	slices.Sort(files)
	var page strings.Builder
	page.WriteString("# Results of experiments\n")
	count := 0
	for _, file := range files {
		result, err := readSaved(file)
		if err != nil {
			return "", err
		}
		if len(result.Customers) == 0 {
			continue
		}
		count++
		if err := result.write(&page, directory); err != nil {
			return "", err
		}
	}
	if count == 0 {
		return "", errors.Errorf("%s holds no result of an experiment with customers", directory)
	}
	path := filepath.Join(directory, "report.md")
	return path, os.WriteFile(path, []byte(page.String()), 0o644)
}

func readSaved(file string) (saved, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return saved{}, err
	}
	data = bytes.TrimSpace(data)
	result := saved{file: strings.TrimSuffix(filepath.Base(file), ".json")}
	err = json.Unmarshal(data[bytes.LastIndexByte(data, '\n')+1:], &result)
	return result, errors.Wrap(err, file)
}

func (s saved) write(page *strings.Builder, directory string) error {
	fmt.Fprintf(page, "\n## %s, seed %d (%s.json)\n\n", s.Experiment, s.Seed, s.file)
	if len(s.Missed) == 0 {
		page.WriteString("All targets met.\n")
	}
	for _, missed := range s.Missed {
		fmt.Fprintf(page, "- Missed: %s\n", missed)
	}
	for _, c := range s.Customers {
		fmt.Fprintf(page, "\n### %s\n\n", c.Customer)
		if len(c.Policy.Cases) > 0 {
			c.writeCases(page)
		} else {
			c.writeRanks(page)
		}
		name := s.file + "-" + c.Customer
		for _, p := range c.plots(name) {
			if err := p.save(directory); err != nil {
				return err
			}
			fmt.Fprintf(page, "\n![%s](%s)\n", p.title, p.file)
		}
	}
	return nil
}

func (c savedCustomer) writeCases(page *strings.Builder) {
	page.WriteString("| policy | flooded | times | lag ms | urgent within target | orders kept | goodput | floors | weighted service |\n" +
		"|---|---|---|---|---|---|---|---|---|\n")
	for _, run := range c.runs() {
		for _, f := range run.run.Cases {
			fmt.Fprintf(page, "| %s | %s | %g | %.0f | %.3f | %.3f | %.3f | %s | %.3f |\n", run.name,
				strings.Join(f.Flooded, ", "), f.Times, f.SendLag, f.UrgentWithinTarget, f.OrdersKept, f.Goodput,
				shares(f.Floors), f.WeightedService)
		}
	}
}

func shares(values map[string]float64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, fmt.Sprintf("%s %.3f", name, values[name]))
	}
	return strings.Join(parts, ", ")
}

func (c savedCustomer) writeRanks(page *strings.Builder) {
	page.WriteString("| policy | rank | sent | answered | within target | p50 ms | p99 ms |\n|---|---|---|---|---|---|---|\n")
	for _, run := range c.runs() {
		for _, rank := range slices.Sorted(maps.Keys(run.run.Ranks)) {
			r := run.run.Ranks[rank]
			fmt.Fprintf(page, "| %s | %s | %d | %d | %.3f | %.0f | %.0f |\n", run.name, rank, r.Sent, r.Answered, r.WithinTarget, r.P50, r.P99)
		}
	}
	for _, run := range c.runs() {
		fmt.Fprintf(page, "\n%s: failed %d, weighted service %.3f; %s\n", run.name, run.run.Failed, run.run.WeightedService, shares(run.run.Figures))
	}
}

type namedRun struct {
	name string
	run  savedRun
}

func (c savedCustomer) runs() []namedRun {
	runs := []namedRun{{"policy", c.Policy}}
	if c.Baseline != nil {
		runs = append(runs, namedRun{"baseline", *c.Baseline})
	}
	return runs
}

// plots returns the plots of a customer: latency by rank over time, kept share by size of the flood, and imbalance.
func (c savedCustomer) plots(name string) (plots []linePlot) {
	for _, run := range c.runs() {
		p := linePlot{title: c.Customer + ", " + run.name + ": p99 by rank", x: "time (s)", y: "p99 (ms)", file: name + "-" + run.name + "-latency.png"}
		for _, rank := range slices.Sorted(maps.Keys(run.run.Series)) {
			l := line{name: rank}
			for _, m := range run.run.Series[rank] {
				l.points = append(l.points, point{m.At, m.P99})
			}
			p.lines = append(p.lines, l)
		}
		plots = append(plots, p)
	}
	kept := linePlot{title: c.Customer + ": orders kept in floods of patterns", x: "flood (times the capacity)", y: "share", file: name + "-kept.png"}
	balance := linePlot{title: c.Customer + ": imbalance of load", x: "tenth of the run", y: "max/mean", file: name + "-imbalance.png"}
	for _, run := range c.runs() {
		l := line{name: run.name}
		for _, f := range run.run.Cases {
			if slices.Equal(f.Flooded, []string{"pattern"}) {
				l.points = append(l.points, point{f.Times, f.OrdersKept})
			}
		}
		slices.SortFunc(l.points, func(a, b point) int { return cmp.Compare(a.x, b.x) })
		kept.add(l)
		l = line{name: run.name}
		for i := range 10 {
			if v, present := run.run.Figures[fmt.Sprintf("imbalance_%02d", i)]; present {
				l.points = append(l.points, point{float64(i), v})
			}
		}
		balance.add(l)
	}
	for _, p := range []linePlot{kept, balance} {
		if len(p.lines) > 0 {
			plots = append(plots, p)
		}
	}
	return plots
}
