package experimenter

import (
	"context"
	"io"
	"maps"
	"os/exec"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Options are the arguments of an experiment.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Baseline also runs the experiment's baseline with the same seed.
	Baseline bool
	// Command returns a command that runs hibiscusd with the settings file at the given path.
	Command func(settings string) *exec.Cmd
	// Progress receives progress messages in plain text.
	Progress io.Writer
}

// Result is the result of an experiment. It is printed as one JSON object.
type Result interface {
	// Violations describes the guarantees that did not hold. The experiment passed if there are none.
	Violations() []string
}

// Experiment is a named experiment.
type Experiment struct {
	Name string
	// Short describes in one line what is measured.
	Short string
	// Duration is the default for Options.Duration.
	Duration time.Duration
	// Run requires a positive Options.Duration.
	Run func(context.Context, Options) (Result, error)
}

var experiments = map[string]Experiment{}

// register adds an experiment to the registry. It returns a value so that it can be called when package variables are
// initialized.
func register(e Experiment) bool {
	experiments[e.Name] = e
	return true
}

// All returns the experiments in the order of their names.
func All() []Experiment {
	var all []Experiment
	for _, name := range slices.Sorted(maps.Keys(experiments)) {
		all = append(all, experiments[name])
	}
	return all
}

// Find returns the experiment with the given name, or an error that lists the known names.
func Find(name string) (Experiment, error) {
	e, present := experiments[name]
	if !present {
		return Experiment{}, errors.Errorf("unknown experiment %q; known experiments: %v",
			name, slices.Sorted(maps.Keys(experiments)))
	}
	return e, nil
}
