package soaker

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/forwarder"
	"hibiscusline/platform/simulator"
)

func answer(status int) simulator.Response { return simulator.Response{Status: status} }

// TestConfigurationProblems guards against a late or withdrawn configuration that the soak doesn't report, and against a
// report about a process that isn't in touch.
func TestConfigurationProblems(t *testing.T) {
	publish := func(c *configurations) {
		if err := c.publish(func(int) error { return nil }); err != nil {
			panic(err)
		}
	}
	for _, test := range []struct {
		name string
		// run lets time pass after a version was published at a process in touch, and returns a response.
		run      func(c *configurations, f *touch, n *node) simulator.Response
		problems []string
	}{
		{"late", func(*configurations, *touch, *node) simulator.Response {
			time.Sleep(2100 * time.Millisecond)
			return answer(http.StatusNotFound)
		}, []string{"/version-1/ got status 404 at n 2.1s after its acknowledgement, which allows 2s in touch"}},
		{"within the bound", func(*configurations, *touch, *node) simulator.Response {
			time.Sleep(2 * time.Second)
			return answer(http.StatusNotFound)
		}, nil},
		{"refused", func(*configurations, *touch, *node) simulator.Response {
			time.Sleep(10 * time.Second)
			return answer(http.StatusServiceUnavailable)
		}, nil},
		{"refused as out of date", func(*configurations, *touch, *node) simulator.Response {
			time.Sleep(2100 * time.Millisecond)
			return simulator.Response{Status: http.StatusServiceUnavailable, Body: forwarder.UnsureText + "\n"}
		}, []string{"/version-1/ got status 503 at n 2.1s after its acknowledgement, which allows 2s in touch"}},
		{"store was faulty", func(_ *configurations, f *touch, _ *node) simulator.Response {
			f.begin(nil)
			f.end(nil)
			time.Sleep(stableWindow - time.Millisecond)
			return answer(http.StatusNotFound)
		}, nil},
		{"late after a fault of the store", func(_ *configurations, f *touch, _ *node) simulator.Response {
			f.begin(nil)
			f.end(nil)
			time.Sleep(stableWindow)
			return answer(http.StatusNotFound)
		}, []string{"/version-1/ got status 404 at n 3s after its acknowledgement, which allows 2s in touch"}},
		{"within the bound after a fault of the store", func(c *configurations, f *touch, _ *node) simulator.Response {
			f.begin(nil)
			f.end(nil)
			time.Sleep(stableWindow)
			publish(c)
			time.Sleep(2 * time.Second)
			return answer(http.StatusNotFound)
		}, nil},
		{"one of two faults has ended", func(_ *configurations, f *touch, n *node) simulator.Response {
			f.begin(n)
			f.begin(n)
			f.end(n)
			time.Sleep(10 * time.Second)
			return answer(http.StatusNotFound)
		}, nil},
		{"fault of another process", func(_ *configurations, f *touch, _ *node) simulator.Response {
			f.begin(&node{})
			time.Sleep(2100 * time.Millisecond)
			return answer(http.StatusNotFound)
		}, []string{"/version-1/ got status 404 at n 2.1s after its acknowledgement, which allows 2s in touch"}},
		{"next version", func(c *configurations, _ *touch, _ *node) simulator.Response {
			time.Sleep(2100 * time.Millisecond)
			publish(c)
			return answer(http.StatusNotFound)
		}, nil},
		{"went back", func(c *configurations, f *touch, n *node) simulator.Response {
			c.check(c.newProbe(n, f), answer(http.StatusOK))
			f.begin(n)
			return answer(http.StatusNotFound)
		}, []string{"/version-1/ got status 404 at n at 00:00:00.000, after the same process had served it"}},
		{"started again", func(c *configurations, f *touch, n *node) simulator.Response {
			c.check(c.newProbe(n, f), answer(http.StatusOK))
			n.lifetime++
			return answer(http.StatusNotFound)
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, f, n := newConfigurations(), &touch{}, &node{}
				n.settings.Name = "n"
				publish(c)
				r := test.run(c, f, n)
				c.check(c.newProbe(n, f), r)
				require.Equal(t, test.problems, c.problems())
			})
		})
	}
}

// TestAnswerAfterChange guards against a report about a response that came after the next version or a new start of the
// process.
func TestAnswerAfterChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := newConfigurations(), &touch{}, &node{}
		publish := func() { require.NoError(t, c.publish(func(int) error { return nil })) }
		publish()
		time.Sleep(10 * time.Second)
		p := c.newProbe(n, f)
		n.lifetime++
		c.check(p, answer(http.StatusNotFound))
		p = c.newProbe(n, f)
		publish()
		c.check(p, answer(http.StatusNotFound))
		require.Empty(t, c.problems())
	})
}
