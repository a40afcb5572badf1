package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

type listeners struct {
	callers, peers net.Listener
	// httpServers serve until the process exits.
	httpServers []*http.Server
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
	var err error
	if l.callers, err = listenTCP(a.settings.Listen); err != nil {
		return l, err
	}
	if l.peers, err = listenTCP(a.settings.Peer); err != nil {
		return l, err
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
	l, err := config.Listen(context.Background(), "tcp4", address.String())
	return l, errors.Wrapf(err, "listen on %s", address)
}

func (a *Sidecar) serve(name string, serve func(net.Listener) error, l net.Listener) {
	if err := serve(l); err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		_ = a.logger.Log("event", "listener_failed", "listener", name, "error", err)
	}
}
