// Package timer reads the clock that lease decisions are based on.
//
// CLOCK_BOOTTIME includes the time that a machine spends suspended. The monotonic clock behind time.Since does not, so
// an owner resumed after a suspension would rely on a lease that its guardians already consider expired.
package timer
