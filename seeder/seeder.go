// Package seeder sets a fixed seed for property tests, so that every run of the tests draws the same values.
//
// Test files import it for its side effect. The flag -rapid.seed overrides the seed; 0 selects a random one.
package seeder

import (
	"flag"

	// Package rapid defines the flag.
	_ "pgregory.net/rapid"
)

const defaultSeed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
}
