package transporter

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/disruptor"
)

// connect starts a transporter and a peer that is reached through a proxy.
func connect(t *testing.T) (*Transporter, *disruptor.Proxy) {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	authority, err := NewCertificateAuthority(time.Hour)
	require.NoError(t, err)
	files, err := authority.Issue(t.TempDir(), "peer", time.Hour)
	require.NoError(t, err)
	credentials, err := LoadCredentials(files.Authority, files.Certificate, files.Key)
	require.NoError(t, err)
	p := listen(t, credentials, loopback)
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	peer := listen(t, credentials, loopback)
	t.Cleanup(func() { require.NoError(t, peer.Close()) })
	proxy, err := disruptor.New(disruptor.Config{Protocol: disruptor.UDP, Listen: loopback, Upstream: peer.Address()})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, proxy.Close()) })
	return p, proxy
}

// block starts or stops dropping all packets between the socket of a transporter and a proxy. Packets from other sockets pass.
func block(p *Transporter, proxy *disruptor.Proxy, on bool) {
	for _, d := range []disruptor.Direction{disruptor.Upstream, disruptor.Downstream} {
		proxy.Block(p.Address(), d, on)
	}
}

// ask opens a stream, and sends a message whose answer ends when the stream is closed for writing.
func ask(t *testing.T, p *Transporter, address netip.AddrPort) *AwaitedStream {
	stream, err := p.Open(t.Context(), address)
	require.NoError(t, err)
	t.Cleanup(stream.Release)
	_, err = stream.Write([]byte("a"))
	require.NoError(t, err)
	_, err = io.ReadFull(stream, make([]byte, 1))
	require.NoError(t, err)
	return stream
}

// TestSilentConnectionIsReplaced guards against requests to a live process that all wait, for up to the idle timeout of a
// minute, because the connection to it no longer carries packets and doesn't end (issue 33).
func TestSilentConnectionIsReplaced(t *testing.T) {
	const replacedTime = 1500 * time.Millisecond
	p, proxy := connect(t)
	repeatable := ask(t, p, proxy.Addr())
	repeatable.CancelIfSilent()
	other := ask(t, p, proxy.Addr())
	block(p, proxy, true)
	start := time.Now()
	require.NoError(t, repeatable.SetReadDeadline(start.Add(5*time.Second)))
	_, err := io.ReadAll(repeatable)
	require.Error(t, err)
	echo(t, p, proxy.Addr())
	require.Less(t, time.Since(start), replacedTime)

	// A message that can't be sent again still gets an answer that was only late.
	block(p, proxy, false)
	require.NoError(t, other.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = other.Write([]byte("b"))
	require.NoError(t, err)
	require.NoError(t, other.Close())
	answer, err := io.ReadAll(other)
	require.NoError(t, err)
	require.Equal(t, "b", string(answer))
}

// TestSlowAnswerIsAwaited guards against a connection that counts as silent because an answer takes long, and against probes
// that reach the handler of datagrams.
func TestSlowAnswerIsAwaited(t *testing.T) {
	p, proxy := connect(t)
	stream := ask(t, p, proxy.Addr())
	stream.CancelIfSilent()
	time.Sleep(2 * servedAgain.Within)
	require.NoError(t, stream.Close())
	_, err := io.ReadAll(stream)
	require.NoError(t, err)
	require.Zero(t, p.Silences())
}

// TestReplacedConnectionsAreClosed guards against sockets that are left open when their connections have ended.
func TestReplacedConnectionsAreClosed(t *testing.T) {
	p, proxy := connect(t)
	stream := ask(t, p, proxy.Addr())
	block(p, proxy, true)
	require.Eventually(t, func() bool { return p.Silences() == 1 }, 5*time.Second, 10*time.Millisecond)
	stream.Release()
	echo(t, p, proxy.Addr())
	p.mu.Lock()
	replacement := p.peers[proxy.Addr()]
	p.mu.Unlock()
	require.NotNil(t, replacement.own)
	require.NoError(t, replacement.connection.CloseWithError(0, "test"))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	// A change of the read deadline would undo the one with which quic-go ends its reads.
	for replacement.own.Conn.SetWriteDeadline(time.Time{}) == nil {
		require.NoError(t, ctx.Err(), "the socket is open")
		time.Sleep(time.Millisecond)
	}
}

// TestSilentPeerDoesNotBlockSender guards against a sender of lease messages that waits for a peer from which nothing arrives
// any more: QUIC holds datagrams back while too many are unacknowledged, up to the idle timeout of a minute, and the sender
// renews and grants all other leases too.
func TestSilentPeerDoesNotBlockSender(t *testing.T) {
	const (
		datagrams = 2000
		longest   = 100 * time.Millisecond
	)
	p, proxy := connect(t)
	echo(t, p, proxy.Addr())
	proxy.Blackhole(true)
	sent := make(chan time.Duration)
	go func() {
		defer close(sent)
		payload := make([]byte, 100)
		for range datagrams {
			start := time.Now()
			p.SendDatagram(proxy.Addr(), payload)
			sent <- time.Since(start)
			time.Sleep(time.Millisecond)
		}
	}()
	for i := range datagrams {
		select {
		case took := <-sent:
			require.Less(t, took, longest, "datagram %d", i)
		case <-time.After(10 * time.Second):
			require.Fail(t, "a sender is blocked", "datagram %d for 10 s", i)
		}
	}
}
