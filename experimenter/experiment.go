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
	// Command returns the command that runs hibiscusd with a settings file.
	Command func(settings string) *exec.Cmd
	// Progress takes lines for people.
	Progress io.Writer
}

// Result is what an experiment found. It is printed as one JSON object.
type Result interface {
	// Violations lists the promises that did not hold; none means that the experiment passed.
	Violations() []string
}

// Experiment is a named experiment.
type Experiment struct {
	Name string
	// Short says in one line what is measured.
	Short string
	// Duration is used when the options have none.
	Duration time.Duration
	Run      func(context.Context, Options) (Result, error)
}

var experiments = map[string]Experiment{}

// register adds an experiment. Each experiment's file calls it from a package variable.
func register(e Experiment) bool {
	experiments[e.Name] = e
	return true
}

// All returns the experiments by name.
func All() []Experiment {
	var all []Experiment
	for _, name := range slices.Sorted(maps.Keys(experiments)) {
		all = append(all, experiments[name])
	}
	return all
}

// Find returns the experiment with a name.
func Find(name string) (Experiment, error) {
	e, present := experiments[name]
	if !present {
		return Experiment{}, errors.Errorf("there is no experiment %q; known: %v", name, slices.Sorted(maps.Keys(experiments)))
	}
	return e, nil
}
