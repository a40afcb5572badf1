// Package seeder gives property tests a fixed seed, so that a run of the tests reaches the same verdict every time.
//
// Test files import it for its effect. The flag -rapid.seed still overrides the seed, and 0 draws a random one.
package seeder

import (
	"flag"

	// The flag is defined by rapid.
	_ "pgregory.net/rapid"
)

// seed is arbitrary.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
