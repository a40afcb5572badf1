// Package experimenter runs named experiments on fleets of hibiscusd processes on loopback, checks the guarantees and
// targets of the system against their results, and generates report.md and docs/CAPACITY.md from saved results.
package experimenter
