// Package evacuator keeps the set of evacuated availability zones. Records arrive from the store and from other processes in any
// order, and every process that has the same records has the same set.
package evacuator
