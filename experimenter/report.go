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

// savedResult is the part of an experiment's JSON result that the report shows. Customers is empty for experiments that
// report nothing by customer.
type savedResult struct {
	Experiment string          `json:"experiment"`
	Seed       uint64          `json:"seed"`
	Customers  []savedCustomer `json:"customers"`
	Missed     []string        `json:"missed"`
	// file is the name of the file without its extension.
	file string
}

type savedCustomer struct {
	Customer string    `json:"customer"`
	Policy   savedRun  `json:"policy"`
	Baseline *savedRun `json:"baseline"`
}

type savedRun struct {
	Cases           []floodCaseResult        `json:"cases"`
	Ranks           map[string]rankStats     `json:"ranks"`
	WeightedService float64                  `json:"weighted_service"`
	Failed          uint64                   `json:"failed"`
	Figures         map[string]float64       `json:"figures"`
	Series          map[string][]seriesPoint `json:"series"`
}

// Report reads the results in the *.json files of a directory, writes report.md and its plots to the same directory,
// and returns the path of the page. Each file holds the output of an experiment, with the result in its last line.
// Results without customers are skipped. It returns an error if a file has no result or if no result has customers.
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
		return "", errors.Errorf("%s contains no experiment result with customers", directory)
	}
	path := filepath.Join(directory, "report.md")
	return path, os.WriteFile(path, []byte(page.String()), 0o644)
}

func readSaved(file string) (savedResult, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return savedResult{}, err
	}
	data = bytes.TrimSpace(data)
	result := savedResult{file: strings.TrimSuffix(filepath.Base(file), ".json")}
	err = json.Unmarshal(data[bytes.LastIndexByte(data, '\n')+1:], &result)
	return result, errors.Wrap(err, file)
}

func (s savedResult) write(page *strings.Builder, directory string) error {
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
		for _, f := range run.result.Cases {
			fmt.Fprintf(page, "| %s | %s | %g | %.0f | %.3f | %.3f | %.3f | %s | %.3f |\n", run.name,
				strings.Join(f.Flooded, ", "), f.Times, f.SendLag, f.UrgentWithinTarget, f.OrdersKept, f.Goodput,
				formatFigures(f.Floors), f.WeightedService)
		}
	}
}

// formatFigures formats named values in the order of their names.
func formatFigures(values map[string]float64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, fmt.Sprintf("%s %.3f", name, values[name]))
	}
	return strings.Join(parts, ", ")
}

func (c savedCustomer) writeRanks(page *strings.Builder) {
	page.WriteString("| policy | rank | sent | answered | within target | p50 ms | p99 ms |\n|---|---|---|---|---|---|---|\n")
	for _, run := range c.runs() {
		for _, rank := range slices.Sorted(maps.Keys(run.result.Ranks)) {
			r := run.result.Ranks[rank]
			fmt.Fprintf(page, "| %s | %s | %d | %d | %.3f | %.0f | %.0f |\n", run.name, rank, r.Sent, r.Answered, r.WithinTarget, r.P50, r.P99)
		}
	}
	for _, run := range c.runs() {
		fmt.Fprintf(page, "\n%s: failed %d, weighted service %.3f; %s\n",
			run.name, run.result.Failed, run.result.WeightedService, formatFigures(run.result.Figures))
	}
}

type namedRun struct {
	name   string
	result savedRun
}

func (c savedCustomer) runs() []namedRun {
	runs := []namedRun{{"policy", c.Policy}}
	if c.Baseline != nil {
		runs = append(runs, namedRun{"baseline", *c.Baseline})
	}
	return runs
}

// plots returns the plots of a customer: latency by rank over time, the share of orders kept by size of the flood, and
// the load imbalance over time. The last two are left out if the result has no such values.
func (c savedCustomer) plots(name string) (plots []linePlot) {
	for _, run := range c.runs() {
		p := linePlot{title: c.Customer + ", " + run.name + ": p99 by rank", x: "time (s)", y: "p99 (ms)", file: name + "-" + run.name + "-latency.png"}
		for _, rank := range slices.Sorted(maps.Keys(run.result.Series)) {
			l := line{name: rank}
			for _, m := range run.result.Series[rank] {
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
		for _, f := range run.result.Cases {
			if slices.Equal(f.Flooded, []string{"pattern"}) {
				l.points = append(l.points, point{f.Times, f.OrdersKept})
			}
		}
		slices.SortFunc(l.points, func(a, b point) int { return cmp.Compare(a.x, b.x) })
		kept.add(l)
		l = line{name: run.name}
		for i := range 10 {
			if v, present := run.result.Figures[fmt.Sprintf("imbalance_%02d", i)]; present {
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
