package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/acceptor"
)

type listeners struct {
	callers, peers *acceptor.Listener
	// httpServers serve until the process exits.
	httpServers []*http.Server
}

// drain closes the listeners for requests after all connections that were opened before have been accepted.
func (l listeners) drain() {
	var tasks sync.WaitGroup
	tasks.Go(l.callers.Drain)
	tasks.Go(l.peers.Drain)
	tasks.Wait()
}

// close closes all listeners and HTTP servers.
func (l listeners) close() {
	_ = l.callers.Close()
	_ = l.peers.Close()
	for _, s := range l.httpServers {
		_ = s.Close()
	}
}

func (a *Sidecar) listen() (listeners, error) {
	var l listeners
	for _, x := range []struct {
		address  netip.AddrPort
		listener **acceptor.Listener
	}{{a.settings.Listen, &l.callers}, {a.settings.Peer, &l.peers}} {
		listener, err := listenTCP(x.address)
		if err != nil {
			return l, err
		}
		*x.listener = acceptor.New(listener)
	}
	go a.serve("callers", a.callerServer.Serve, l.callers)
	go a.serve("inbound", a.peerServer.Serve, l.peers)
	for name, h := range map[string]struct {
		address netip.AddrPort
		handler http.Handler
	}{"ready": {a.settings.Ready, a.readyHandler()}, "local": {a.settings.Local, a.localHandler()}, "metrics": {a.settings.Metrics, a.metricsHandler()}} {
		listener, err := listenTCP(h.address)
		if err != nil {
			return l, err
		}
		server := &http.Server{Handler: h.handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute}
		l.httpServers = append(l.httpServers, server)
		go a.serve(name, server.Serve, listener)
	}
	return l, nil
}

func listenTCP(address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false) // Its sockets support no filter, which package acceptor sets.
	l, err := config.Listen(context.Background(), "tcp4", address.String())
	return l, errors.Wrapf(err, "listen on %s", address)
}

func (a *Sidecar) serve(name string, serve func(net.Listener) error, l net.Listener) {
	if err := serve(l); err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		_ = a.logger.Log("event", "listener_failed", "listener", name, "error", err)
	}
}
