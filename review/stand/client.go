//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const host = "jepu9.example"

var attempts atomic.Uint64

// answer is what a consumer saw of one attempt. Status 0 means a connection that ended without an answer.
type answer struct {
	id     string
	status int
	sent   time.Time
}

const noKey = -1

// send sends one consumer attempt to a node on a new connection.
func (n *node) send(method, path string, key int, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("a%06d", attempts.Add(1)), sent: time.Now()}
	q, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", n.outbound, path), http.NoBody)
	if err != nil {
		return a
	}
	q.Host = host
	q.Header.Set("Attempt-Id", a.id)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != noKey {
		q.Header.Set("Shard-Key", strconv.Itoa(key))
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: deadline + time.Second}
	r, err := client.Do(q)
	if err == nil {
		if _, err = io.Copy(io.Discard, r.Body); err == nil {
			a.status = r.StatusCode
		}
		_ = r.Body.Close()
	}
	n.w.logf("%s: sent %s %s %s, answered %d after %d ms", n.name, a.id, method, path, a.status, time.Since(a.sent).Milliseconds())
	return a
}
