package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// slowConsumers is the number of consumers of this case, and requestsEach that of the downloads that each requests before the
	// first is answered, on a connection that has carried a request before.
	slowConsumers, requestsEach = 3, 4
	// drawingKB is the length of a download in KB; the mean of the site files is 90, the maximum 540.
	drawingKB = 200
	// narrowBytes is what a consumer reads each narrowPause, and narrowBuffer the size of its receive buffer.
	narrowBytes  = 2 << 10
	narrowPause  = 100 * time.Millisecond
	narrowBuffer = 16 << 10
	// lostAllowed is the number of requests that LOST allows.
	lostAllowed = 3
)

// playSlow lets a few consumers read their downloads slowly and steadily. It counts the requests that were passed on to a sound
// server, and whose connection then ended without a byte of an answer to them.
func playSlow(w *world, trouble bool) error {
	routes := []route{{"patterns", "/patterns/", "download", "patterns", consumerTime}}
	if err := w.publish(1, routes, map[string]bool{"patterns": false}); err != nil {
		return err
	}
	n, err := w.newNode("node-1", "patterns")
	if err != nil {
		return err
	}
	s := n.newServer("i-1", time.Now().UnixMilli(), func(w http.ResponseWriter, r *http.Request) {
		length := drawingKB << 10
		if r.URL.Path == "/patterns/small" {
			length = 100
		}
		w.Header().Set("Response-Signature", "s")
		w.Header().Set("Content-Length", strconv.Itoa(length))
		_, _ = w.Write(make([]byte, length))
	})
	if err := s.start(); err != nil {
		return err
	}
	if err := n.start(); err != nil {
		return err
	}
	if err := n.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	var group sync.WaitGroup
	var mu sync.Mutex
	lost, whole, failed := 0, 0, 0
	for k := range slowConsumers {
		group.Go(func() {
			o := w.downloadSlowly(n, s, k, trouble)
			mu.Lock()
			defer mu.Unlock()
			lost, whole = lost+o.lost, whole+o.whole
			if o.err != nil {
				w.printf("consumer %d: %v", k, o.err)
				failed++
			}
		})
	}
	group.Wait()
	w.printf("%d answers whole; %d requests ran at the server and their connection ended without a byte of an answer", whole, lost)
	switch {
	case failed > 0:
		return errors.New("consumers couldn't begin")
	case lost > lostAllowed:
		return errors.Wrapf(errBroken, "LOST: %d requests", lost)
	}
	return nil
}

// outcome is what a consumer got: the number of whole answers, and that of the requests that ran and got no byte of an answer.
type outcome struct {
	whole, lost int
	err         error
}

func (w *world) downloadSlowly(n *node, s *server, k int, trouble bool) outcome {
	c, err := dialAsConsumer(n.listen, narrowBuffer)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = c.Close() }()
	id := func(i int) string { return fmt.Sprintf("c%d-%d", k, i) }
	send := func(path string, i int) {
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, host, id(i),
			consumerTime.Milliseconds())
	}
	reader := bufio.NewReaderSize(c, narrowBytes)
	send("/patterns/small", 0)
	r, err := http.ReadResponse(reader, nil)
	if err != nil {
		return outcome{err: errors.WithStack(err)}
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || r.StatusCode != http.StatusOK {
		return outcome{err: errors.Errorf("first request: status %d, %v", r.StatusCode, err)}
	}
	for i := range requestsEach {
		send("/patterns/large", i+1)
	}
	sent := time.Now()
	w.printf("consumer %d has a kept connection and sent %d downloads", k, requestsEach)
	var source io.Reader = reader
	if trouble {
		source = slowReader{reader, narrowBytes, narrowPause}
	}
	slow := bufio.NewReaderSize(source, narrowBytes)
	var o outcome
	for i := range requestsEach {
		begun := 0
		var failure error
		if _, err := slow.Peek(1); err == nil {
			begun = 1
			if r, err := http.ReadResponse(slow, nil); err == nil {
				length, err := io.Copy(io.Discard, r.Body)
				w.printf("%s: status %d, %d of %d bytes after %.1f s, error %v", id(i+1), r.StatusCode, length, r.ContentLength,
					time.Since(sent).Seconds(), err)
				if failure = err; err == nil {
					o.whole++
					continue
				}
			} else {
				failure = err
			}
		} else {
			failure = err
		}
		for j := i + begun; j < requestsEach; j++ {
			if s.runs(id(j+1)) > 0 {
				o.lost++
			}
		}
		w.printf("consumer %d: its connection ended after %.1f s: %v", k, time.Since(sent).Seconds(), failure)
		break
	}
	return o
}
