// Package pacer lets large messages onto an instance's link one after the other, at the rate of the link, so that small and
// urgent ones don't wait behind them in the queue of the link. It does no I/O.
package pacer
