// Package watcher tells whether the other end of a connection has closed it.
//
// A read reports the end of a connection only after all bytes that precede it, and only when the reading goroutine runs.
// A process that is short of processor time reads requests long after their senders have left, so work that is done on
// behalf of a connection asks this package before it starts.
package watcher
