package carrier

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// abortReporter is a connection whose reads report that it was aborted also if a write learned of it first.
type abortReporter struct {
	net.Conn
	// writing is held during a write. It guards aborted.
	writing sync.Mutex
	// aborted is the error of a write that learned that the connection was aborted.
	aborted error
}

// ReportAborts wraps a connection that one goroutine reads while another writes. The kernel reports a reset or a timeout of a
// connection once. If a write is told, the next read of the socket returns io.EOF, as if the other end had closed the connection
// in order, and a body that ends with its connection would seem complete. Read of the wrapped connection returns the error of
// the write instead. At io.EOF, it ends a write that is in progress.
func ReportAborts(nc net.Conn) net.Conn { return &abortReporter{Conn: nc} }

// Write writes, and keeps the error that aborted the connection.
func (a *abortReporter) Write(p []byte) (int, error) {
	a.writing.Lock()
	defer a.writing.Unlock()
	n, err := a.Conn.Write(p)
	if isAbort(err) {
		a.aborted = err
	}
	return n, err
}

// Read reads. It returns io.EOF only if the other end has closed the connection in order.
func (a *abortReporter) Read(p []byte) (int, error) {
	n, err := a.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if aborted := a.writeAbort(); aborted != nil {
		err = aborted
	}
	return n, err
}

// writeAbort returns the error with which a write learned that the connection was aborted, or nil.
func (a *abortReporter) writeAbort() error {
	if !a.writing.TryLock() {
		_ = a.Conn.SetWriteDeadline(time.Unix(1, 0)) // It fails only on a closed connection, which ends the write as well.
		a.writing.Lock()
	}
	defer a.writing.Unlock()
	return a.aborted
}

// isAbort reports whether the error of a write tells that the connection was aborted. EPIPE doesn't: the other end had closed
// its direction in order before, or a read was told of the abort.
func isAbort(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}
