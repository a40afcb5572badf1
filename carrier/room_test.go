package carrier_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/carrier"
)

// patientLimits returns limits with an idle timeout that is longer than the tests.
func patientLimits() carrier.Limits {
	l := testLimits()
	l.IdleTimeout = time.Minute
	return l
}

// TestIdleConnectionsMakeRoom guards against callers that aren't read for seconds because all places are taken by idle
// connections, which made them leave before their requests were read (GONE) and held them past their timeouts (CONFIG),
// and against busy connections that are closed to make room.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	const places = 20
	finish := make(chan struct{})
	_, address := startServer(t, carrier.ServerConfig{
		MaxConnections: places,
		Limits:         patientLimits,
		Handle: func(ctx context.Context, q *carrier.Request) *carrier.Response {
			if q.Target == "/busy" {
				<-finish
			}
			return echo(ctx, q)
		},
	})
	request := func(target string) *bufio.Reader {
		c := dial(t, address)
		_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", target)
		require.NoError(t, err)
		return bufio.NewReader(c)
	}
	require200 := func(r *bufio.Reader) {
		t.Helper()
		response, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	busy := []*bufio.Reader{request("/busy"), request("/busy")}
	start := time.Now()
	for range 3 * places {
		require200(request("/"))
	}
	require.Less(t, time.Since(start), 15*time.Second, "callers wait for the idle timeout of others")
	close(finish)
	for _, r := range busy {
		require200(r)
	}
}

// TestSilentConnectionsMakeRoom guards against callers that aren't read for seconds because all places are taken by
// connections that were opened and never used.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	const places = 20
	_, address := startServer(t, carrier.ServerConfig{MaxConnections: places, Limits: patientLimits, Handle: echo})
	for range places {
		dial(t, address)
	}
	for range places {
		c := dial(t, address)
		require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		requireAnswered(t, c, "/")
		require.NoError(t, c.Close())
	}
}

// TestNewConnectionsAreNotIdle guards against new connections that are closed to make room before their first request can
// arrive.
func TestNewConnectionsAreNotIdle(t *testing.T) {
	const places = 20
	finish := make(chan struct{})
	defer close(finish)
	_, address := startServer(t, carrier.ServerConfig{
		MaxConnections: places, Limits: patientLimits,
		Handle: func(ctx context.Context, q *carrier.Request) *carrier.Response {
			if q.Target == "/busy" {
				<-finish
			}
			return echo(ctx, q)
		},
	})
	for range places - 3 {
		_, err := fmt.Fprint(dial(t, address), "GET /busy HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
	}
	opened := time.Now()
	// From the second of them on, each new connection looks for an idle one to close.
	for _, c := range []net.Conn{dial(t, address), dial(t, address), dial(t, address)} {
		_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if err == nil {
			_, err = http.ReadResponse(bufio.NewReader(c), nil)
		}
		// A connection that stays silent for a second counts as idle.
		require.True(t, err == nil || time.Since(opened) > time.Second, "%v", err)
	}
}

func requireAnswered(t *testing.T, c net.Conn, target string) {
	t.Helper()
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", target)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}
