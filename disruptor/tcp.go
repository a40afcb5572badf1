package disruptor

import (
	"cmp"
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hibiscusline/watcher"
)

// maxChunkBytes and maxQueuedChunks limit the data buffered for one direction of a connection to 4 MiB.
const (
	maxChunkBytes   = 16 << 10
	maxQueuedChunks = 256
)

// connPair is a client's TCP connection and the corresponding one to the upstream server, which is nil until it is
// established.
type connPair struct {
	client, server *net.TCPConn
	ctx            context.Context
	stop           context.CancelFunc
	// silent means that all data is discarded, in both directions, and that the client doesn't learn of the server's end.
	silent atomic.Bool
}

// reset closes both connections with RST.
func (cp *connPair) reset() {
	cp.stop()
	for _, c := range []*net.TCPConn{cp.client, cp.server} {
		if c != nil {
			// An error means that the connection is already closed.
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

func (p *Proxy) acceptConnections() {
	for {
		client, err := p.listener.AcceptTCP()
		if err != nil {
			if p.ctx.Err() != nil || !wait(p.ctx, time.Millisecond) {
				return
			}
			continue
		}
		ctx, stop := context.WithCancel(p.ctx)
		pair := &connPair{client: client, ctx: ctx, stop: stop}
		if !p.register(pair) {
			return
		}
		p.workers.Go(func() { p.serve(pair) })
	}
}

// register adds a pair to those that Reset closes. It resets the pair and reports false if the proxy is closed.
func (p *Proxy) register(pair *connPair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		pair.reset()
		return false
	}
	p.connPairs[pair] = struct{}{}
	return true
}

// connect dials the upstream server, after waiting while the upstream direction is cut. It reports false if the dial
// fails, the pair was reset, or the client has closed its connection meanwhile: over a link that is cut, that connection
// would never have been established.
func (p *Proxy) connect(pair *connPair) bool {
	if _, open := p.waitWhileCut(pair.ctx, Upstream); !open || watcher.Closed(pair.client) {
		return false
	}
	dialer := net.Dialer{Control: setResetOnClose}
	server, err := dialer.DialContext(pair.ctx, "tcp", p.config.Upstream.String())
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pair.server = server.(*net.TCPConn)
	if pair.ctx.Err() != nil {
		pair.reset()
		return false
	}
	return pair.server.SetLinger(-1) == nil
}

// setResetOnClose sets a linger time of zero on a socket before it connects. If Reset interrupts the dial after the
// upstream server has accepted the connection, it then closes with RST.
func setResetOnClose(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	return cmp.Or(controlErr, err)
}

func (p *Proxy) serve(pair *connPair) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		pair.reset()
		delete(p.connPairs, pair)
	}()
	if !p.connect(pair) {
		return
	}
	ended := make(chan struct{})
	p.workers.Go(func() {
		defer close(ended)
		p.pipe(pair, Downstream, pair.server, pair.client)
	})
	p.pipe(pair, Upstream, pair.client, pair.server)
	<-ended
	if pair.ctx.Err() == nil {
		// Both directions have ended: close without RST here, so that the deferred reset finds the connections closed.
		_ = pair.client.Close()
		_ = pair.server.Close()
	}
}

// chunk is a part of a stream and the time at which it may be forwarded.
type chunk struct {
	data []byte
	due  time.Time
}

// pipe forwards one direction until its end, and then closes that direction of the target. After an error it resets the
// pair.
func (p *Proxy) pipe(pair *connPair, d Direction, source, target *net.TCPConn) {
	chunks := make(chan chunk, maxQueuedChunks)
	readErr := make(chan error, 1)
	p.workers.Go(func() {
		defer close(chunks)
		err := p.read(pair, d, source, chunks)
		if err != nil {
			// What a link still holds is lost when its sender resets the connection.
			pair.reset()
		}
		readErr <- err
	})
	if !p.write(pair, d, target, chunks) {
		// The reset also ends the reading goroutine.
		pair.reset()
		return
	}
	if err := <-readErr; err != nil {
		pair.reset()
		return
	}
	if pair.silent.Load() {
		if d == Downstream {
			<-pair.ctx.Done()
		}
		pair.reset()
		return
	}
	// An error means that the other direction has reset the pair.
	_ = target.CloseWrite()
}

// read reads chunks from the source until its end. Latency is measured from the time of the read, so that it doesn't
// limit the throughput.
func (p *Proxy) read(pair *connPair, d Direction, source *net.TCPConn, chunks chan<- chunk) error {
	for {
		buffer := make([]byte, maxChunkBytes)
		n, err := source.Read(buffer)
		if n > 0 {
			f, _ := p.faults.get(d)
			select {
			case chunks <- chunk{data: buffer[:n], due: time.Now().Add(p.faults.sampleDelay(f))}:
			case <-pair.ctx.Done():
				return pair.ctx.Err()
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

// write forwards chunks in order. It reports false after an error or when the pair was reset.
func (p *Proxy) write(pair *connPair, d Direction, target *net.TCPConn, chunks <-chan chunk) bool {
	for c := range chunks {
		if !wait(pair.ctx, time.Until(c.due)) {
			return false
		}
		for len(c.data) > 0 && !pair.silent.Load() {
			f, open := p.waitWhileCut(pair.ctx, d)
			if !open || f.Reset {
				return false
			}
			// Write small steps, so that a change of the bandwidth takes effect soon.
			step := c.data
			if f.Bandwidth > 0 {
				step = step[:min(len(step), max(1, f.Bandwidth/100))]
			}
			if !wait(pair.ctx, f.transmissionTime(len(step))) {
				return false
			}
			if _, err := target.Write(step); err != nil {
				return false
			}
			c.data = c.data[len(step):]
		}
	}
	_, open := p.waitWhileCut(pair.ctx, d)
	return open
}
