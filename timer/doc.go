// Package timer reads the clock that lease decisions use.
//
// CLOCK_BOOTTIME counts the time that a machine spends suspended. The clock behind time.Since does not, so an owner
// resumed after a suspension would trust a lease that its guardians already gave up.
package timer
