//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	recordName   = "record.txt"
	troubleField = "TROUBLE"
)

// cases holds the cases by name. A case returns the violations that it saw, or an error if it couldn't run.
var cases = map[string]func(*world) ([]string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	w, err := newWorld(filepath.Join(folder, recordName), os.Getenv(troubleField) != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer w.close()
	violations, err := cases[name](w)
	if err != nil {
		w.logf("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	for _, v := range violations {
		w.logf("BROKEN: %s", v)
		fmt.Println("BROKEN:", v)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	w.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
