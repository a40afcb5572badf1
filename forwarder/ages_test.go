package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
	"hibiscusline/balancer"
	"hibiscusline/registrar"
)

// TestStartedServerIsCold guards against a server that has just started, also under the name of an earlier one, and gets its
// full share of requests at once, and against servers that count as cold because this process has just started.
func TestStartedServerIsCold(t *testing.T) {
	ages := serverAges{}
	member := func(name string, born int64) registrar.Member {
		return registrar.Member{Name: name, Incarnation: assigner.Incarnation{Instance: name, Born: born}}
	}
	const start = time.Minute
	ages.observe(start, []registrar.Member{member("a", 1), member("b", 1)})
	require.Equal(t, balancer.DefaultRampUp, ages.of(start, "a"))
	now := start + time.Second
	ages.observe(now, []registrar.Member{member("a", 2), member("b", 1), member("c", 1)})
	require.Zero(t, ages.of(now, "a"), "a server that has started again")
	require.Equal(t, balancer.DefaultRampUp+time.Second, ages.of(now, "b"))
	require.Zero(t, ages.of(now, "c"), "a new server")
	ages.observe(now+time.Second, []registrar.Member{member("a", 2)})
	require.Equal(t, time.Second, ages.of(now+time.Second, "a"))
}
