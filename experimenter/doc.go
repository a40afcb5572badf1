// Package experimenter runs named experiments on fleets of real processes on loopback and judges their results.
package experimenter
