package disruptor

import (
	"cmp"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxChunk and maxChunks bound what the proxy holds of one direction of a connection: 4 MiB.
const (
	maxChunk  = 16 << 10
	maxChunks = 256
)

// link is a TCP connection of a client with the one to the upstream server.
type link struct {
	client, server *net.TCPConn
	ctx            context.Context
	stop           context.CancelFunc
}

// reset closes both connections with RST.
func (l *link) reset() {
	l.stop()
	for _, c := range []*net.TCPConn{l.client, l.server} {
		if c != nil {
			// An error means that the connection is closed already.
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.AcceptTCP()
		if err != nil {
			if p.ctx.Err() != nil || !wait(p.ctx, time.Millisecond) {
				return
			}
			continue
		}
		ctx, stop := context.WithCancel(p.ctx)
		l := &link{client: client, ctx: ctx, stop: stop}
		if !p.add(l) {
			return
		}
		p.workers.Go(func() { p.serve(l) })
	}
}

// add keeps a link so that Reset finds it. It reports false when the proxy is closed.
func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		l.reset()
		return false
	}
	p.links[l] = struct{}{}
	return true
}

// connect dials the upstream server. It waits while the way to it is cut.
func (p *Proxy) connect(l *link) bool {
	if _, open := p.waitForCut(l.ctx, Upstream); !open {
		return false
	}
	dialer := net.Dialer{Control: closeWithReset}
	server, err := dialer.DialContext(l.ctx, "tcp", p.config.Upstream.String())
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.server = server.(*net.TCPConn)
	if l.ctx.Err() != nil {
		l.reset()
		return false
	}
	return l.server.SetLinger(-1) == nil
}

// closeWithReset makes a dial that Reset interrupts end with RST if the upstream server has accepted it already.
func closeWithReset(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	return cmp.Or(controlErr, err)
}

func (p *Proxy) serve(l *link) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		l.reset()
		delete(p.links, l)
	}()
	if !p.connect(l) {
		return
	}
	ended := make(chan struct{})
	p.workers.Go(func() {
		defer close(ended)
		p.pipe(l, Downstream, l.server, l.client)
	})
	p.pipe(l, Upstream, l.client, l.server)
	<-ended
	if l.ctx.Err() == nil {
		// Both sides have sent everything: this closes without RST, and the reset that follows finds them closed.
		_ = l.client.Close()
		_ = l.server.Close()
	}
}

// chunk is a part of a stream with the time at which it may be passed on.
type chunk struct {
	data []byte
	due  time.Time
}

// pipe passes one direction on until its end, and then closes that direction of the target. After an error it resets the
// link.
func (p *Proxy) pipe(l *link, d Direction, source, target *net.TCPConn) {
	chunks := make(chan chunk, maxChunks)
	failed := make(chan error, 1)
	p.workers.Go(func() {
		defer close(chunks)
		failed <- p.read(l, d, source, chunks)
	})
	if !p.write(l, d, target, chunks) {
		// This also ends the reader.
		l.reset()
		return
	}
	if err := <-failed; err != nil {
		l.reset()
		return
	}
	// An error means that the other direction has reset the link.
	_ = target.CloseWrite()
}

// read takes data from the source. Latency is counted from here, so that it doesn't limit the throughput.
func (p *Proxy) read(l *link, d Direction, source *net.TCPConn, chunks chan<- chunk) error {
	for {
		buffer := make([]byte, maxChunk)
		n, err := source.Read(buffer)
		if n > 0 {
			t, _ := p.board.get(d)
			select {
			case chunks <- chunk{data: buffer[:n], due: time.Now().Add(p.board.delay(t))}:
			case <-l.ctx.Done():
				return l.ctx.Err()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// write passes chunks on in order. It reports false after an error or when the link was reset.
func (p *Proxy) write(l *link, d Direction, target *net.TCPConn, chunks <-chan chunk) bool {
	for c := range chunks {
		if !wait(l.ctx, time.Until(c.due)) {
			return false
		}
		for len(c.data) > 0 {
			t, open := p.waitForCut(l.ctx, d)
			if !open || t.Reset {
				return false
			}
			// Small steps let a change of the bandwidth take effect soon.
			step := c.data
			if t.Bandwidth > 0 {
				step = step[:min(len(step), max(1, t.Bandwidth/100))]
			}
			if !wait(l.ctx, t.transmission(len(step))) {
				return false
			}
			if _, err := target.Write(step); err != nil {
				return false
			}
			c.data = c.data[len(step):]
		}
	}
	_, open := p.waitForCut(l.ctx, d)
	return open
}
