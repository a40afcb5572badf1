// Package pacer schedules large messages on an instance's link one at a time, at the rate of the link, so that small and
// urgent messages do not wait behind them in the send queue of the link. It does no I/O.
package pacer
