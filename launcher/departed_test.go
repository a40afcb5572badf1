package launcher

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/emulator"
	"hibiscusline/validator"
)

// TestDepartedCallers guards against requests that are sent to a server, or go on running there, after their callers have
// left (GONE): on connections with pipelined requests, in the queue of a server, and read late by a process that stood
// still.
func TestDepartedCallers(t *testing.T) {
	b := startBadInputFleet(t)
	for _, c := range []struct {
		name string
		run  func(*testing.T, *badInputFleet)
	}{
		{"next request pipelined", testDepartedPipelining},
		{"waiting for a slot", testDepartedInQueue},
		{"read late", testDepartedUnread},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.run(t, b)
			b.setServiceTime(time.Millisecond)
			b.requireIntact(t)
		})
	}
}

func (b *badInputFleet) setServiceTime(d time.Duration) {
	for _, n := range b.Nodes[:2] {
		require.NoError(b.t, n.Server.Change(func(s *emulator.ServerSettings) { s.ServiceTime = validator.Duration(d) }))
	}
}

// executions returns the executions of requests whose ids have a prefix.
func (b *badInputFleet) executions(prefix string) (list []emulator.Execution) {
	for _, e := range b.Ledger.Report().Executions {
		if strings.HasPrefix(e.RequestID, prefix) {
			list = append(list, e)
		}
	}
	return list
}

// dial opens a caller's connection.
func (b *badInputFleet) dial(n *Node) net.Conn {
	c, err := net.Dial("tcp", n.Settings.Listen.String())
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = c.Close() })
	return c
}

// write sends a request for a key of the order desk. A request with a body may run only once.
func (b *badInputFleet) write(c net.Conn, id, body string) {
	method, extra := "GET", ""
	if body != "" {
		method, extra = "POST", fmt.Sprintf("Idempotency-Key: %s\r\nContent-Length: %d\r\n", id, len(body))
	}
	_, err := fmt.Fprintf(c, "%s /dues HTTP/1.1\r\nHost: a\r\nHibiscus-Service: order-desk\r\nHibiscus-Key: leaving\r\n"+
		"Hibiscus-Timeout-Ms: 30000\r\nX-Request-Id: %s\r\n%s\r\n%s", method, id, extra, body)
	require.NoError(b.t, err)
}

// maxWorkAfterDeparture is how long a repeatable request may go on after its caller has left: half a second, and as much
// for a busy machine. The longest time of a request in the fleet is twice that.
const maxWorkAfterDeparture = time.Second

func testDepartedPipelining(t *testing.T, b *badInputFleet) {
	b.setServiceTime(time.Minute)
	for i, n := range b.Nodes[:2] {
		c := b.dial(n)
		id := fmt.Sprintf("pipelined-%d", i)
		b.write(c, id+"-first", "")
		require.Eventually(t, func() bool { return len(b.executions(id)) == 1 }, 10*time.Second, time.Millisecond)
		b.write(c, id+"-next", "")
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, c.Close())
		require.Eventually(t, func() bool {
			return b.executions(id)[0].Status == emulator.Cancelled
		}, maxWorkAfterDeparture, time.Millisecond, "the request goes on after its caller has left")
		time.Sleep(100 * time.Millisecond)
		require.Len(t, b.executions(id), 1, "the next request is not sent")
	}
}

func testDepartedInQueue(t *testing.T, b *badInputFleet) {
	const slots = 12
	b.setServiceTime(2 * time.Second)
	for i, n := range b.Nodes[:2] {
		id := fmt.Sprintf("queued-%d", i)
		var busy []net.Conn
		for j := range slots {
			c := b.dial(n)
			b.write(c, fmt.Sprintf("%s-busy-%d", id, j), "")
			busy = append(busy, c)
		}
		require.Eventually(t, func() bool { return len(b.executions(id+"-busy")) == slots }, 10*time.Second, time.Millisecond)
		for j, body := range []string{"", "3 yards"} {
			c := b.dial(n)
			b.write(c, fmt.Sprintf("%s-left-%d", id, j), body)
			time.Sleep(200 * time.Millisecond)
			require.NoError(t, c.Close())
		}
		time.Sleep(300 * time.Millisecond)
		for _, c := range busy {
			require.NoError(t, c.Close())
		}
		require.Eventually(t, func() bool {
			for _, e := range b.executions(id + "-busy") {
				if e.Status == emulator.Running {
					return false
				}
			}
			return true
		}, 10*time.Second, time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		require.Empty(t, b.executions(id+"-left"), "requests run although their callers left while they waited")
	}
}

func testDepartedUnread(t *testing.T, b *badInputFleet) {
	const callers = 20
	for i, n := range b.Nodes[:2] {
		id := fmt.Sprintf("unread-%d", i)
		require.NoError(t, n.Freeze())
		// Requests that are read before the process has stopped are read in time.
		require.Eventually(t, func() bool {
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.PID()))
			return err == nil && strings.Contains(string(status), ") T ")
		}, 10*time.Second, time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		for j := range callers {
			c := b.dial(n)
			body := ""
			if j%2 == 0 {
				body = "3 yards"
			}
			b.write(c, fmt.Sprintf("%s-%d", id, j), body)
			require.NoError(t, c.Close())
		}
		// On a busy machine the last close may take a moment to arrive.
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, n.Thaw())
		stays, _ := b.order(n)
		require.Equal(t, "answered", stays.Header.Get("Hibiscus-Outcome"), "a caller that stays is served")
		time.Sleep(500 * time.Millisecond)
		require.Empty(t, b.executions(id), "requests run although their callers left before they were read")
	}
}
