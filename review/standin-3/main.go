// Command standin-3 plays the cases of the third review: small deployments of the program of the deploy file on loopback, with
// stand-ins for its clients, its backend servers and its platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// errBroken is the error of a run in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// Exit codes of a case.
const (
	held = iota
	broken
	notRun
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE HIBISCUSD DIRECTORY")
		return notRun
	}
	cases := map[string]func(*world, bool) error{"memory": playMemory, "born": playBorn, "mixed": playMixed, "slow": playSlow, "owner": playOwner}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		return notRun
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, start: time.Now()}
	w, err := newWorld(r, os.Args[2])
	if err != nil {
		r.printf("the case couldn't run: %v", err)
		return notRun
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("disruption: %v", trouble)
	switch err := play(w, trouble); {
	case errors.Is(err, errBroken):
		r.printf("BROKEN: %v", err)
		return broken
	case err != nil:
		r.printf("the case couldn't run: %v", err)
		return notRun
	}
	r.printf("the rule held")
	return held
}
