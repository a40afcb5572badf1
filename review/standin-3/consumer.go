package main

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// segmentBytes is the length of the segments of the connections of consumers. That of the loopback interface is 64 KiB, and
	// a receiver with a small buffer opens its window by whole segments only.
	segmentBytes = 1460
	// receiveBuffer is the size of the receive buffer of most consumers.
	receiveBuffer = 64 << 10
)

// dialAsConsumer opens a connection as one over an ordinary network is, with a receive buffer of a size.
func dialAsConsumer(to netip.AddrPort, buffer int) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			if err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes); err == nil {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, buffer)
			}
		}); e != nil {
			return e
		}
		return err
	}}
	c, err := d.Dial("tcp4", to.String())
	return c, errors.WithStack(err)
}

// slowReader reads a few bytes at a time, at regular intervals.
type slowReader struct {
	source io.Reader
	bytes  int
	pause  time.Duration
}

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.pause)
	return s.source.Read(p[:min(len(p), s.bytes)])
}
